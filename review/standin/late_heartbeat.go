package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// lateHeartbeat: a backend deregisters, its node acknowledges that, is killed and starts
// again. Then a heartbeat arrives that the backend had sent before it left.
func lateHeartbeat(recordFile string) error {
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
	leaving.reporter.silent.Store(true)
	late := leaving.reporter.beat("ready")
	w.record.add("%s: %s is sent and delayed on its way", leaving.machine.name, late.what)
	time.Sleep(time.Second)
	if !leaving.reporter.send(leaving.reporter.leave()) {
		return errCannotRun
	}
	acknowledged := time.Now()
	if w.trouble {
		time.Sleep(500 * time.Millisecond)
		if err := leaving.machine.restart(); err != nil {
			return err
		}
	} else {
		time.Sleep(time.Second)
	}
	started := time.Now()
	time.Sleep(1500 * time.Millisecond)
	w.record.add("%s: the delayed heartbeat arrives, %.1f s after the deregistration was acknowledged", leaving.machine.name, time.Since(acknowledged).Seconds())
	leaving.reporter.send(late)
	// From here on both machines are in touch again.
	inTouch := started.Add(stableWindow)
	time.Sleep(time.Until(inTouch) + 6*time.Second)
	stop()
	clients.Wait()
	leaving.close()
	w.record.add("%s: the backend exits", leaving.machine.name)

	count, first := 0, time.Duration(0)
	for _, at := range leaving.runs() {
		if at.After(acknowledged.Add(drainTime)) && at.After(inTouch) {
			if count++; count == 1 {
				first = at.Sub(acknowledged)
			}
		}
	}
	w.record.add("requests that the backend ran later than drain_s after the acknowledgement, from machines in touch: %d", count)
	if count > 0 {
		return broken{fmt.Sprintf("DRAIN: the backend ran %d requests later than drain_s (%v) after its leaving was acknowledged, the first %.1f s after it", count, drainTime, first.Seconds())}
	}
	return nil
}

// plainBackend is a sound backend.
type plainBackend struct {
	machine  *machine
	reporter *reporter
	listener net.Listener

	mu    sync.Mutex
	times []time.Time
}

func startPlainBackend(ctx context.Context, m *machine, id string) (*plainBackend, error) {
	l, err := net.Listen("tcp", m.at(portApp))
	if err != nil {
		return nil, err
	}
	b := &plainBackend{machine: m, reporter: newReporter(m, id, 12), listener: l}
	go func() { _ = (&http.Server{Handler: b}).Serve(l) }()
	go b.reporter.run(ctx)
	return b, nil
}

func (b *plainBackend) close() { _ = b.listener.Close() }

func (b *plainBackend) runs() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.times...)
}

// ServeHTTP implements http.Handler.
func (b *plainBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.reporter.id {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Instance-Id", b.reporter.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.times = append(b.times, time.Now())
	b.mu.Unlock()
	b.machine.world.record.add("backend %s of %s: runs request %s", b.reporter.id, b.machine.name, id)
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Response-Signature", "signed."+b.reporter.id)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}
