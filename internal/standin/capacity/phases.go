package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Lengths and rates of the phases.
const (
	settleTime = 3 * time.Second
	restTime   = 8 * time.Second
	// churnEvents per second are changes of upstreams' states in the fleet.
	churnEvents = 5
	churnTime   = 6 * time.Second
	changeCount = 16
	changeEvery = 250 * time.Millisecond
	callTime    = 5 * time.Second
	// callsPerNode is the rate of calls at each entry, per second.
	callsPerNode = 50
)

// Measured is what one fleet size cost.
type Measurement struct {
	Nodes int
	Rest  Rates
	Churn Rates
	// Changes is the phase of changeCount documents.
	Changes Rates
	// FirstCalls is the phase in which entries and gates connect, Calls the
	// same load after it.
	FirstCalls Rates
	Calls      Rates
	// CallCount and CallsFailed are of the phase of calls.
	CallCount   uint64
	CallsFailed uint64
	Faults      FaultCosts
}

// measure runs all phases on a fleet of n processes.
func measure(ctx context.Context, binary, dir string, n int, out io.Writer) (Measurement, error) {
	m := Measurement{Nodes: n}
	f, err := startFleet(ctx, binary, dir, n)
	if err != nil {
		return m, err
	}
	defer f.stop()
	if err := f.apply(ctx, 0); err != nil {
		return m, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return m, err
	}
	for _, p := range []struct {
		name string
		into *Rates
		run  func(context.Context) error
	}{
		{"rest", &m.Rest, func(ctx context.Context) error { return pause(ctx, restTime) }},
		{"churn", &m.Churn, f.churn},
		{"changes", &m.Changes, f.changes},
		{"first calls", &m.FirstCalls, func(ctx context.Context) error { return f.calls(ctx, &m) }},
		{"calls", &m.Calls, func(ctx context.Context) error { return f.calls(ctx, &m) }},
	} {
		from, err := f.take(ctx)
		if err != nil {
			return m, err
		}
		if err := p.run(ctx); err != nil {
			return m, fmt.Errorf("%s: %w", p.name, err)
		}
		to, err := f.take(ctx)
		if err != nil {
			return m, err
		}
		*p.into = rates(from, to, n)
		fmt.Fprintf(out, "%d nodes, %s: %.2f%% of a core, %.0f B/s, %.1f MB, %.2f store calls/s\n",
			n, p.name, p.into.CPUPercent, p.into.ControlBytesPerSecond, p.into.ResidentMB, p.into.StoreCallsPerSecond)
	}
	m.Faults, err = f.faults(ctx)
	if err != nil {
		return m, fmt.Errorf("faults: %w", err)
	}
	fmt.Fprintf(out, "%d nodes, faults: %+v\n", n, m.Faults)
	return m, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// apply takes document number change to one node and waits for it everywhere.
func (f *fleet) apply(ctx context.Context, change int) error {
	number, err := f.send(ctx, change)
	if err != nil {
		return err
	}
	return f.awaitNumber(ctx, number)
}

func (f *fleet) send(ctx context.Context, change int) (uint64, error) {
	text, err := documentText(change)
	if err != nil {
		return 0, err
	}
	out, err := f.hosts[change%len(f.hosts)].operator.Apply(ctx, text, 0)
	if err != nil {
		return 0, err
	}
	if out.Outcome != api.ApplyAccepted {
		return 0, fmt.Errorf("apply: %s: %w", out.Outcome, out.Error)
	}
	return out.Number, nil
}

// churn lets upstreams drain and come back at a fixed rate of the fleet.
func (f *fleet) churn(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / churnEvents)
	defer ticker.Stop()
	end := time.After(churnTime)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return nil
		case <-ticker.C:
		}
		h := f.hosts[i/2%len(f.hosts)]
		h.upstream.SetDraining(i%2 == 0)
		if err := h.upstream.Announce(ctx, h.operator.BaseURL, token); err != nil {
			return err
		}
	}
}

// changes sends documents at a fixed rate and waits for the last.
func (f *fleet) changes(ctx context.Context) error {
	ticker := time.NewTicker(changeEvery)
	defer ticker.Stop()
	var number uint64
	for change := 1; change <= changeCount; change++ {
		var err error
		if number, err = f.send(ctx, change); err != nil {
			return err
		}
		if change < changeCount {
			<-ticker.C
		}
	}
	return f.awaitNumber(ctx, number)
}

// calls sends calls at a fixed rate to every entry, over all services.
func (f *fleet) calls(ctx context.Context, m *Measurement) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: upstreamSlots}}
	var count, failed atomic.Uint64
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.callEntry(ctx, client, h, &count, &failed)
		}()
	}
	wg.Wait()
	client.CloseIdleConnections()
	m.CallCount, m.CallsFailed = count.Load(), failed.Load()
	return nil
}

func (f *fleet) callEntry(ctx context.Context, client *http.Client, h *host, count, failed *atomic.Uint64) {
	ticker := time.NewTicker(time.Second / callsPerNode)
	defer ticker.Stop()
	for i := h.index; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		count.Add(1)
		service := i % min(serviceCount, len(f.hosts))
		resp, err := client.Get("http://" + h.address(portCallers) + servicePath(service) + "/1")
		if err != nil {
			failed.Add(1)
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			failed.Add(1)
		}
	}
}
