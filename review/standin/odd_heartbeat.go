package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// oddHeartbeat: another writer sends one heartbeat with a number too large for a running
// backend: its start in microseconds in place of milliseconds. Later the backend drains.
func oddHeartbeat(recordFile string) error {
	w, err := newWorld(recordFile, 2)
	if err != nil {
		return err
	}
	defer w.end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.configure(1, []string{"desk"}, []route{{"r-desk", "desk.example", "/status/", "idempotent", "desk", 2}})
	var backends []*plainBackend
	for n := 1; n <= 2; n++ {
		m, err := w.addMachine(fmt.Sprintf("machine-%d", n), fmt.Sprintf("zone-%d", n), "desk")
		if err != nil {
			return err
		}
		b, err := startPlainBackend(ctx, m, fmt.Sprintf("i-%d", n))
		if err != nil {
			return err
		}
		backends = append(backends, b)
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(stableWindow + time.Second)
	var clients sync.WaitGroup
	traffic, stop := context.WithCancel(ctx)
	for _, m := range w.machines {
		clients.Go(func() {
			for n := 0; traffic.Err() == nil; n++ {
				m.request(http.MethodGet, "desk.example", fmt.Sprintf("/status/%d", n), newID(), nil)
				sleep(traffic, 40*time.Millisecond)
			}
		})
	}
	defer func() {
		stop()
		clients.Wait()
	}()
	time.Sleep(time.Second)

	leaving := backends[0]
	if w.trouble {
		leaving.reporter.send(leaving.reporter.odd())
	}
	time.Sleep(3 * heartbeatEvery)
	leaving.reporter.silent.Store(true)
	if !leaving.reporter.send(leaving.reporter.beat("draining")) {
		return errCannotRun
	}
	acknowledged := time.Now()
	// The backend repeats its state as before, serves on and exits.
	for time.Since(acknowledged) < drainTime+6*time.Second {
		time.Sleep(heartbeatEvery)
		leaving.reporter.send(leaving.reporter.beat("draining"))
	}
	leaving.reporter.send(leaving.reporter.leave())
	time.Sleep(time.Second)
	stop()
	clients.Wait()
	leaving.close()
	w.record.add("%s: the backend exits", leaving.machine.name)

	count, first := 0, time.Duration(0)
	for _, at := range leaving.runs() {
		if at.After(acknowledged.Add(drainTime)) {
			if count++; count == 1 {
				first = at.Sub(acknowledged)
			}
		}
	}
	w.record.add("requests that the backend ran later than drain_s after the acknowledgement: %d", count)
	if count > 0 {
		return broken{fmt.Sprintf("DRAIN: the backend ran %d requests later than drain_s (%v) after its draining was acknowledged, the first %.1f s after it", count, drainTime, first.Seconds())}
	}
	return nil
}

// odd is a heartbeat of another writer for the backend: all is right but its start, which
// is given in microseconds.
func (r *reporter) odd() report {
	body, _ := json.Marshal(map[string]any{
		"service": r.machine.service, "address": r.machine.at(portApp), "zone": r.machine.zone, "version": "v1", "capacity": r.capacity,
		"state": "ready", "warmup_left_s": 0, "sequence": 1, "born": r.born * 1000,
	})
	return report{"/Instances.Heartbeat/" + r.id, "odd heartbeat of another writer for " + r.id, body}
}
