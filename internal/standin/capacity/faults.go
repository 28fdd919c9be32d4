package capacity

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// Faults are what failures and returns of hosts cost.
type FaultCosts struct {
	// JoinSeconds is the time from the start of one replaced process until it
	// has the configuration in force and knows all nodes; JoinBytes are the
	// control bytes that it sent and received until then.
	JoinSeconds float64
	JoinBytes   float64
	// GoneSeconds is the time from the kill of one process until every other
	// node has dropped it.
	GoneSeconds float64
	// CentreGoneSeconds is the same for all processes of a data centre.
	CentreGoneSeconds float64
	// HerdSeconds is the time from the return of a data centre's processes
	// until they have the configuration in force and all nodes know all.
	HerdSeconds float64
	// HerdStoreCalls are the calls to the store meanwhile.
	HerdStoreCalls float64
}

// faults brings about the failures one after another.
func (f *fleet) faults(ctx context.Context) (FaultCosts, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*gatherLimit)
	defer cancel()
	var out FaultCosts
	last := f.hosts[len(f.hosts)-1:]
	var err error
	if out.GoneSeconds, err = f.kill(ctx, last); err != nil {
		return out, err
	}
	if out.JoinSeconds, err = f.bringBack(ctx, last); err != nil {
		return out, err
	}
	v, err := f.vars(ctx, last[0])
	if err != nil {
		return out, err
	}
	out.JoinBytes = v.controlBytes()
	centre := f.centre(dataCentres - 1)
	if out.CentreGoneSeconds, err = f.kill(ctx, centre); err != nil {
		return out, err
	}
	calls := f.store.Counts().Total()
	if out.HerdSeconds, err = f.bringBack(ctx, centre); err != nil {
		return out, err
	}
	out.HerdStoreCalls = float64(f.store.Counts().Total() - calls)
	return out, nil
}

// centre lists the hosts of a data centre.
func (f *fleet) centre(dc int) []*host {
	var out []*host
	for _, h := range f.hosts {
		if h.index%dataCentres == dc {
			out = append(out, h)
		}
	}
	return out
}

// kill ends processes without warning and returns the seconds until all
// others have dropped them.
func (f *fleet) kill(ctx context.Context, victims []*host) (float64, error) {
	dead := map[*host]bool{}
	start := time.Now()
	for _, h := range victims {
		dead[h] = true
		if err := h.cmd.Process.Signal(syscall.SIGKILL); err != nil {
			return 0, fmt.Errorf("kill host %d: %w", h.index, err)
		}
	}
	for _, h := range victims {
		_ = h.cmd.Wait()
	}
	left := len(f.hosts) - len(victims)
	for _, h := range f.hosts {
		if dead[h] {
			continue
		}
		if err := until(ctx, func() bool { return f.status(ctx, h).Members <= left }); err != nil {
			return 0, fmt.Errorf("host %d still knows %d: %w", h.index, f.status(ctx, h).Members, err)
		}
	}
	return time.Since(start).Seconds(), nil
}

// bringBack starts killed processes again, all at once, and returns the
// seconds until they serve and all nodes know all.
func (f *fleet) bringBack(ctx context.Context, victims []*host) (float64, error) {
	number := f.status(ctx, f.hosts[0]).Number
	start := time.Now()
	for _, h := range victims {
		if err := f.startProcess(ctx, h); err != nil {
			return 0, err
		}
	}
	for _, h := range victims {
		if err := until(ctx, func() bool { return h.upstream.Announce(ctx, h.operator.BaseURL, token) == nil }); err != nil {
			return 0, fmt.Errorf("announce to host %d: %w", h.index, err)
		}
	}
	for _, h := range f.hosts {
		back := func() bool {
			s := f.status(ctx, h)
			return s.Number >= number && s.Members >= len(f.hosts)
		}
		if err := until(ctx, back); err != nil {
			return 0, fmt.Errorf("host %d is not back: %w", h.index, err)
		}
	}
	return time.Since(start).Seconds(), nil
}
