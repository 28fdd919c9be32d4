package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["answers"] = answersCase }

// The load of the answers case.
const (
	// longAnswer is the size of the answers to downloads.
	longAnswer = 4 << 20
	// downloaders is the number of clients at each of two machines that download, and
	// calmDownloaders without the crowd.
	downloaders, calmDownloaders = 32, 2
	// downloadTime is how long they download.
	downloadTime = 45 * time.Second
)

// answersCase lets clients at two machines download from the backends of two others.
// Each sends one request at a time and reads its answer at once. The platform ends a
// process that exceeds the memory of its machine and starts it again.
func answersCase(rec *record, trouble bool) ([]string, error) {
	f, err := newFleet(rec, []string{"maps", "maps", "desk", "desk"}, 2, machineMemoryMB)
	if err != nil {
		return nil, notRun("%w", err)
	}
	defer f.stop()
	if err := f.serveStore(); err != nil {
		return nil, notRun("%w", err)
	}
	f.store.put("op/config", f.config(1, []route{
		{"r-maps", "/maps/", "download", "maps", 5}, {"r-credit", "/credit/", "non_idempotent", "desk", 2},
	}))
	for i, n := range f.nodes {
		if err := n.start(); err != nil {
			return nil, notRun("%w", err)
		}
		work := 220 * time.Millisecond
		if n.service == "maps" {
			work = 60 * time.Millisecond
		}
		if err := n.startBackend(fmt.Sprintf("i-%d", i+1), 11, work); err != nil {
			return nil, notRun("%w", err)
		}
		if n.service == "maps" {
			n.backend.answerBytes = longAnswer
		}
	}
	if !f.awaitReady(15 * time.Second) {
		return nil, notRun("the nodes are not ready")
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	ordinary, downloads := &callerCounts{}, &callerCounts{}
	number := downloaders
	if !trouble {
		number = calmDownloaders
	}
	for i, n := range f.nodes {
		for k := range 4 {
			c := &caller{fleet: f, node: n, name: fmt.Sprintf("credit-%d-%d", i+1, k+1), method: "POST", prefix: "/credit/", body: "amount=1", deadline: 2 * time.Second, pause: 100 * time.Millisecond}
			running.Go(func() { c.run(stop, ordinary) })
		}
		if n.service == "maps" {
			continue
		}
		for k := range number {
			c := &caller{fleet: f, node: n, name: fmt.Sprintf("map-%d-%d", i+1, k+1), method: "GET", prefix: "/maps/", deadline: 5 * time.Second, pause: 20 * time.Millisecond}
			running.Go(func() { c.run(stop, downloads) })
		}
	}
	kills := make([]int, len(f.nodes))
	for i, n := range f.nodes {
		running.Go(func() { f.enforceMemory(n, stop, &kills[i]) })
	}
	time.Sleep(downloadTime)
	close(stop)
	running.Wait()
	rec.line("downloads: %s", downloads)
	return f.judgeMemory(kills, ordinary), nil
}
