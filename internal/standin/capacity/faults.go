package capacity

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// FaultCosts holds the costs of hosts that fail and rejoin. Its field names appear
// in the progress output.
type FaultCosts struct {
	// JoinSeconds is the time from the start of one replaced process until it has
	// the configuration in force and every node knows all others. JoinBytes is the
	// number of control bytes that it sent and received until then.
	JoinSeconds float64
	JoinBytes   float64
	// GoneSeconds is the time from the kill of one process until every other node
	// has removed it from its member list.
	GoneSeconds float64
	// CentreGoneSeconds is the same for all processes of a data centre.
	CentreGoneSeconds float64
	// HerdSeconds is the time from the restart of a data centre's processes until
	// they have the configuration in force and every node knows all others.
	HerdSeconds float64
	// HerdStoreCalls is the number of calls to the store in that time.
	HerdStoreCalls float64
}

// measureFaults causes the failures one after another and measures their costs.
func (f *fleet) measureFaults(ctx context.Context) (FaultCosts, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*convergeTimeout)
	defer cancel()
	var out FaultCosts
	last := f.hosts[len(f.hosts)-1:]
	var err error
	if out.GoneSeconds, err = f.killAndAwaitRemoval(ctx, last); err != nil {
		return out, err
	}
	if out.JoinSeconds, err = f.restartAndAwaitRejoin(ctx, last); err != nil {
		return out, err
	}
	v, err := f.vars(ctx, last[0])
	if err != nil {
		return out, err
	}
	out.JoinBytes = v.controlBytes()
	dataCentre := f.hostsOfDataCentre(dataCentres - 1)
	if out.CentreGoneSeconds, err = f.killAndAwaitRemoval(ctx, dataCentre); err != nil {
		return out, err
	}
	calls := f.store.Counts().Total()
	if out.HerdSeconds, err = f.restartAndAwaitRejoin(ctx, dataCentre); err != nil {
		return out, err
	}
	out.HerdStoreCalls = float64(f.store.Counts().Total() - calls)
	return out, nil
}

// hostsOfDataCentre returns the hosts of a data centre.
func (f *fleet) hostsOfDataCentre(dc int) []*host {
	var out []*host
	for _, h := range f.hosts {
		if h.index%dataCentres == dc {
			out = append(out, h)
		}
	}
	return out
}

// killAndAwaitRemoval kills processes with SIGKILL and returns the seconds until
// all other nodes have removed them from their member lists.
func (f *fleet) killAndAwaitRemoval(ctx context.Context, targets []*host) (float64, error) {
	killed := map[*host]bool{}
	start := time.Now()
	for _, h := range targets {
		killed[h] = true
		if err := h.cmd.Process.Signal(syscall.SIGKILL); err != nil {
			return 0, fmt.Errorf("kill host %d: %w", h.index, err)
		}
	}
	for _, h := range targets {
		_ = h.cmd.Wait()
	}
	remaining := len(f.hosts) - len(targets)
	for _, h := range f.hosts {
		if killed[h] {
			continue
		}
		if err := pollUntil(ctx, func() bool { return f.status(ctx, h).Members <= remaining }); err != nil {
			return 0, fmt.Errorf("host %d still has %d members: %w", h.index, f.status(ctx, h).Members, err)
		}
	}
	return time.Since(start).Seconds(), nil
}

// restartAndAwaitRejoin starts killed processes again, all at once, and returns
// the seconds until every node has the configuration in force and knows all others.
func (f *fleet) restartAndAwaitRejoin(ctx context.Context, targets []*host) (float64, error) {
	number := f.status(ctx, f.hosts[0]).Number
	start := time.Now()
	for _, h := range targets {
		if err := f.startProcess(ctx, h); err != nil {
			return 0, err
		}
	}
	for _, h := range targets {
		if err := pollUntil(ctx, func() bool { return h.upstream.Announce(ctx, h.operator.BaseURL, token) == nil }); err != nil {
			return 0, fmt.Errorf("announce to host %d: %w", h.index, err)
		}
	}
	for _, h := range f.hosts {
		rejoined := func() bool {
			s := f.status(ctx, h)
			return s.Number >= number && s.Members >= len(f.hosts)
		}
		if err := pollUntil(ctx, rejoined); err != nil {
			return 0, fmt.Errorf("host %d has not rejoined: %w", h.index, err)
		}
	}
	return time.Since(start).Seconds(), nil
}
