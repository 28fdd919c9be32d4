package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["departure"] = departureCase }

// Times of the departure case.
const (
	// storeOutage is how long the store refuses all calls.
	storeOutage = 4500 * time.Millisecond
	// lateness is how late the heartbeat arrives that the backend sent last.
	lateness = 2500 * time.Millisecond
	// servesOn is how long the backend serves after its departure was acknowledged.
	servesOn = 15 * time.Second
	// stableWindow and drainTime are bounds of the site.
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
)

// departureCase lets a backend deregister while the store is down, and then kills all
// processes at once. The heartbeat that the backend sent last arrives late.
func departureCase(rec *record, trouble bool) ([]string, error) {
	f, err := newFleet(rec, []string{"desk", "desk", "desk", "ledger", "ledger"}, 3, machineMemoryMB)
	if err != nil {
		return nil, notRun("%w", err)
	}
	defer f.stop()
	if err := f.serveStore(); err != nil {
		return nil, notRun("%w", err)
	}
	f.store.put("op/config", f.config(1, []route{{"r-status", "/status/", "idempotent", "desk", 1.5}}))
	for i, n := range f.nodes {
		if err := n.start(); err != nil {
			return nil, notRun("%w", err)
		}
		if err := n.startBackend(fmt.Sprintf("i-%d", i+1), 12, 60*time.Millisecond); err != nil {
			return nil, notRun("%w", err)
		}
	}
	if !f.awaitReady(15 * time.Second) {
		return nil, notRun("the nodes are not ready")
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer sync.OnceFunc(func() { close(stop) })()
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	counts := &callerCounts{}
	for i, n := range f.nodes {
		for k := range 3 {
			c := &caller{fleet: f, node: n, name: fmt.Sprintf("status-%d-%d", i+1, k+1), method: "GET", prefix: "/status/", deadline: 1500 * time.Millisecond, pause: 30 * time.Millisecond}
			c.onSent = func(id string, at time.Time) {
				mu.Lock()
				defer mu.Unlock()
				sentAt[id] = at
			}
			running.Go(func() { c.run(stop, counts) })
		}
	}
	time.Sleep(2 * time.Second)
	leaving := f.nodes[0].backend

	downAt := time.Now()
	if trouble {
		rec.line("the store is down")
		f.store.setDown(true)
	}
	time.Sleep(500 * time.Millisecond)
	leaving.setQuiet(true)
	late, sent := leaving.heartbeat("ready"), time.Now()
	rec.line("%s sends its last heartbeat, which is held up: %s", leaving.id, late)
	time.Sleep(100 * time.Millisecond)
	left, _ := json.Marshal(object{"born": leaving.born})
	status := 0
	for end := time.Now().Add(4 * time.Second); status != http.StatusOK && time.Now().Before(end); {
		status = leaving.report("Instances.Deregister", left)
		rec.line("%s deregisters: %d", leaving.id, status)
	}
	if status != http.StatusOK {
		return nil, notRun("the departure was not acknowledged")
	}
	acked := time.Now()
	stable := acked
	if trouble {
		time.Sleep(300 * time.Millisecond)
		rec.line("all processes are killed")
		var kills sync.WaitGroup
		for _, n := range f.nodes {
			kills.Go(n.kill)
		}
		kills.Wait()
		time.Sleep(700 * time.Millisecond)
		for _, n := range f.nodes {
			if err := n.start(); err != nil {
				return nil, notRun("%w", err)
			}
		}
		stable = time.Now()
	}
	time.Sleep(time.Until(sent.Add(lateness)))
	status = 0
	for end := time.Now().Add(2 * time.Second); status == 0 && time.Now().Before(end); {
		if status = leaving.report("Instances.Heartbeat", late); status == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	rec.line("the heartbeat arrives, %.1f s late: %d", time.Since(sent).Seconds(), status)
	if trouble {
		time.Sleep(time.Until(downAt.Add(storeOutage)))
		rec.line("the store is back")
		f.store.setDown(false)
		stable = time.Now()
	}
	// From here on all machines and the store are undisturbed for the stable window.
	from := stable.Add(stableWindow)
	if min := acked.Add(drainTime); from.Before(min) {
		from = min
	}
	time.Sleep(time.Until(from))
	rec.line("all machines are in touch")
	time.Sleep(time.Until(acked.Add(servesOn)))
	rec.line("%s ends", leaving.id)
	leaving.stop()
	var after []run
	mu.Lock()
	for _, r := range leaving.runsAfter(from) {
		if at, ok := sentAt[r.id]; ok && at.After(from) {
			after = append(after, r)
		}
	}
	mu.Unlock()
	for i, r := range after {
		if i < 20 {
			rec.line("%s ran %s %.2f s after its departure was acknowledged", leaving.id, r.id, r.at.Sub(acked).Seconds())
		}
	}
	time.Sleep(time.Second)
	rec.line("clients: %s", counts)
	if len(after) > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests that were sent by machines in touch reached %s from %.1f to %.1f s after its departure was acknowledged",
			len(after), leaving.id, after[0].at.Sub(acked).Seconds(), after[len(after)-1].at.Sub(acked).Seconds())}, nil
	}
	return nil, nil
}
