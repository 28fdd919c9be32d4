package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stray"] = strayCase }

// The dose of the stray case: one backend of two, one answer in strayEvery, for strayTime.
const (
	strayEvery = 40
	strayTime  = 5 * time.Second
	strayBytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// faultyBackend answers each request whole and in order. While it is faulty, it sends
// additional bytes after some answers, which arrive when the next answer on the
// connection is expected.
type faultyBackend struct {
	*backend
	listener net.Listener
	faulty   atomic.Bool
	answers  atomic.Int64
	strays   atomic.Int64
}

func (n *node) startFaultyBackend(id string, work time.Duration) (*faultyBackend, error) {
	l, err := net.Listen("tcp", address(n.ip, n.fleet.ports.upstream))
	if err != nil {
		return nil, err
	}
	b := &faultyBackend{backend: &backend{node: n, id: id, version: "v1", born: time.Now().UnixMilli(), slots: 12, work: work}, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	go func() {
		for {
			if b.report("Instances.Heartbeat", b.heartbeat("ready")) != http.StatusOK {
				time.Sleep(300 * time.Millisecond)
				continue
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return b, nil
}

// serve answers the requests of one connection.
func (b *faultyBackend) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	owed := false
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if target := r.Header.Get("Target-Instance"); target != b.id {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "+b.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		b.mu.Lock()
		b.runs = append(b.runs, run{time.Now(), id})
		b.mu.Unlock()
		if owed {
			b.strays.Add(1)
			b.node.fleet.rec.line("%s runs %s and sends the additional bytes after its previous answer", b.id, id)
			if _, err := io.WriteString(conn, strayBytes); err != nil {
				return
			}
		}
		time.Sleep(b.work)
		answer := fmt.Sprintf("%s %s %d\n", b.id, id, len(body))
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, b.id, id, len(answer), answer); err != nil {
			return
		}
		owed = b.answers.Add(1)%strayEvery == 0 && b.faulty.Load()
	}
}

// strayCase lets one of two backends send additional bytes, in the form of a refusal,
// after some of its answers.
func strayCase(rec *record, trouble bool) ([]string, error) {
	f, err := newFleet(rec, []string{"ledger", "ledger", "desk"}, 1, machineMemoryMB)
	if err != nil {
		return nil, notRun("%w", err)
	}
	defer f.stop()
	if err := f.serveStore(); err != nil {
		return nil, notRun("%w", err)
	}
	f.store.put("op/config", f.config(1, []route{{"r-credit", "/credit/", "non_idempotent", "ledger", 2}}))
	var backends []*faultyBackend
	for i, n := range f.nodes {
		if err := n.start(); err != nil {
			return nil, notRun("%w", err)
		}
		b, err := n.startFaultyBackend(fmt.Sprintf("i-%d", i+1), 40*time.Millisecond)
		if err != nil {
			return nil, notRun("%w", err)
		}
		defer b.listener.Close()
		backends = append(backends, b)
	}
	if !f.awaitReady(15 * time.Second) {
		return nil, notRun("the nodes are not ready")
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	counts := &callerCounts{}
	var mu sync.Mutex
	answers := map[string]int{}
	for i, n := range f.nodes {
		for k := range 4 {
			c := &caller{fleet: f, node: n, name: fmt.Sprintf("credit-%d-%d", i+1, k+1), method: "POST", prefix: "/credit/", body: "amount=1", deadline: 2 * time.Second, pause: 10 * time.Millisecond}
			c.onAnswer = func(id string, status int) {
				mu.Lock()
				defer mu.Unlock()
				answers[id] = status
			}
			running.Go(func() { c.run(stop, counts) })
		}
	}
	time.Sleep(2 * time.Second)
	backends[0].faulty.Store(trouble)
	time.Sleep(strayTime)
	backends[0].faulty.Store(false)
	time.Sleep(3 * time.Second)
	close(stop)
	running.Wait()
	ran := map[string]int{}
	for _, b := range backends {
		for _, r := range b.runsAfter(time.Time{}) {
			ran[r.id]++
		}
	}
	twice, refused := 0, 0
	for id, n := range ran {
		if n > 1 {
			twice++
			rec.line("%s ran %d times, answered with %d", id, n, answers[id])
		}
		if s := answers[id]; s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests {
			refused++
			rec.line("%s ran and was answered with %d", id, s)
		}
	}
	summary, _ := json.Marshal(object{"ids that ran": len(ran), "additional bytes sent": backends[0].strays.Load()})
	rec.line("%s; clients: %s", summary, counts)
	var broken []string
	if twice > 0 {
		broken = append(broken, fmt.Sprintf("TWICE: %d of %d requests that are not idempotent ran twice; additional bytes were sent %d times", twice, len(ran), backends[0].strays.Load()))
	}
	if refused > 0 {
		broken = append(broken, fmt.Sprintf("REFUSED: %d requests that ran were answered as not run", refused))
	}
	return broken, nil
}
