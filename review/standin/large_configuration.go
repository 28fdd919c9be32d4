package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// configApply is config_apply_s.
	configApply = 2 * time.Second
	// valueBytes is value_bytes.
	valueBytes = 1048576
	// growth is how many routes a growth of the configuration adds, and growths how often
	// it grows.
	growth, growths = 350, 15
)

// largeConfiguration: the configuration of a fleet of twelve machines grows by many
// routes, up to nearly the size of the largest value. After that it changes a few times.
func largeConfiguration(recordFile string) error {
	w, err := newWorld(recordFile, 12)
	if err != nil {
		return err
	}
	defer w.end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	routes := idleRoutes(0, 300)
	version := 1
	w.configure(version, []string{"desk"}, routes)
	for n := range 12 {
		m, err := w.addMachine(fmt.Sprintf("machine-%d", n+1), fmt.Sprintf("zone-%d", n%3+1), "desk")
		if err != nil {
			return err
		}
		if _, err := startPlainBackend(ctx, m, fmt.Sprintf("i-%d", n+1)); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(stableWindow + time.Second)
	for range growths {
		if w.trouble {
			routes = append(routes, idleRoutes(len(routes), growth)...)
		}
		version += 4
		w.configure(version, []string{"desk"}, routes)
		time.Sleep(time.Second)
	}
	stale := 0
	for n := range 4 {
		// A change adds one route, which every machine has to serve two seconds later.
		prefix := fmt.Sprintf("/new%d/", n)
		routes = append(routes, route{fmt.Sprintf("r-new%d", n), "desk.example", prefix, "idempotent", "desk", 2})
		version += 3
		size := w.configure(version, []string{"desk"}, routes)
		if size > valueBytes {
			return fmt.Errorf("the value has %d bytes: %w", size, errCannotRun)
		}
		time.Sleep(configApply + 2*time.Second)
		var mu sync.Mutex
		var clients sync.WaitGroup
		for _, m := range w.machines {
			clients.Go(func() {
				a := m.request(http.MethodGet, "desk.example", prefix+"1", newID(), nil)
				mu.Lock()
				defer mu.Unlock()
				if a.err == nil && a.status == http.StatusNotFound {
					stale++
					w.record.add("%s: refuses with 404 what version %08x, acknowledged 4 s before, allows", m.name, version)
				}
			})
		}
		clients.Wait()
	}
	if stale > 0 {
		return broken{fmt.Sprintf("CONFIG: %d of %d requests were refused with 404 later than config_apply_s (%v) after the acknowledgement of their route", stale, 4*len(w.machines), configApply)}
	}
	return nil
}

// idleRoutes returns routes that no client uses.
func idleRoutes(from, count int) []route {
	var out []route
	for n := from; n < from+count; n++ {
		out = append(out, route{fmt.Sprintf("r-idle%05d", n), fmt.Sprintf("idle%d.example", n%90), fmt.Sprintf("/lepu%d/", n), "idempotent", "desk", 2})
	}
	return out
}
