package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shedEvery: each so many requests find the backend full.
	shedEvery = 20
	// extraEvery: of the answers that shed a request, each so many are sent a second
	// time. With shedEvery that is one answer in 40, below the share of 0.03 that the
	// site file gives for extra, late answers.
	extraEvery = 2
	// extraTime is how long that lasts, as in the site file.
	extraTime = 5 * time.Second
	// strayEvery: one in so many answers is followed by stray bytes.
	strayEvery = 40
	// strayBytes are bytes that belong to no request.
	strayBytes = "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\nthis belongs to nobody"
)

// extraAnswer: one of two backends sends some of the answers with which it sheds a
// second time, late, at the point where the next answer is expected.
func extraAnswer(recordFile string) error { return answerCase(recordFile, false) }

// strayAnswer: one of two backends sends stray bytes after some of its answers, at the
// point where the next answer is expected.
func strayAnswer(recordFile string) error { return answerCase(recordFile, true) }

// answerCase is the run of both cases. Clients of two machines send requests that are
// idempotent and such that aren't.
func answerCase(recordFile string, stray bool) error {
	w, err := newWorld(recordFile, 2)
	if err != nil {
		return err
	}
	defer w.end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.configure(1, []string{"ledger"}, []route{
		{"r-read", "ledger.example", "/price/", "idempotent", "ledger", 2},
		{"r-post", "ledger.example", "/refund/", "non_idempotent", "ledger", 2},
	})
	runs := &runLog{record: w.record, count: map[string]int{}}
	var backends []*wireBackend
	for n := 1; n <= 2; n++ {
		m, err := w.addMachine(fmt.Sprintf("machine-%d", n), fmt.Sprintf("zone-%d", n), "ledger")
		if err != nil {
			return err
		}
		b, err := startWireBackend(ctx, m, fmt.Sprintf("i-%d", n), runs, stray)
		if err != nil {
			return err
		}
		backends = append(backends, b)
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(stableWindow + time.Second)

	var mu sync.Mutex
	answers := map[string]answer{}
	unsigned := &unsignedLog{record: w.record}
	var clients sync.WaitGroup
	traffic, stop := context.WithCancel(ctx)
	for _, m := range w.machines {
		for worker := range 4 {
			clients.Go(func() {
				for n := worker; traffic.Err() == nil; n++ {
					id := newID()
					if n%2 == 0 {
						a := m.request(http.MethodGet, "ledger.example", fmt.Sprintf("/price/%d", n), id, nil)
						unsigned.check(a, id)
					} else {
						a := m.request(http.MethodPost, "ledger.example", fmt.Sprintf("/refund/%d", n), id, []byte("post this refund once"))
						unsigned.check(a, id)
						mu.Lock()
						answers[id] = a
						mu.Unlock()
					}
					sleep(traffic, 5*time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.record.add("backend i-1 begins to send extra answers")
		backends[0].extra.Store(true)
	}
	time.Sleep(extraTime)
	backends[0].extra.Store(false)
	w.record.add("backend i-1 sends no more extra answers")
	time.Sleep(time.Second)
	stop()
	clients.Wait()
	time.Sleep(time.Second)

	twice, refused := 0, 0
	for id, a := range answers {
		n := runs.of(id)
		if n > 1 {
			twice++
			w.record.add("request %s, not idempotent, has run %d times; its client got %s", id, n, a)
		}
		if n > 0 && a.err == nil && (a.status == 503 || a.status == 429) {
			refused++
			w.record.add("request %s, not idempotent, has run; its client got %s", id, a)
		}
	}
	w.record.add("requests that are not idempotent: %d; run more than once: %d; answered 503 or 429 though they have run: %d; answers of i-1: %d, extra ones: %d",
		len(answers), twice, refused, backends[0].answers.Load(), backends[0].extras.Load())
	w.record.add("successes without a Response-Signature: %d", unsigned.count.Load())
	if n := unsigned.count.Load(); n > 0 {
		return broken{fmt.Sprintf("MIXED: clients got %d successes without a Response-Signature", n)}
	}
	if twice+refused > 0 {
		return broken{fmt.Sprintf("TWICE: %d of %d requests that are not idempotent ran more than once; REFUSED: %d were answered 503 though they had run", twice, len(answers), refused)}
	}
	return nil
}

// unsignedLog counts the successes that bear no backend's signature.
type unsignedLog struct {
	record *record
	count  atomic.Int64
}

func (l *unsignedLog) check(a answer, id string) {
	if a.err == nil && a.status/100 == 2 && a.signature == "" {
		l.count.Add(1)
		l.record.add("request %s got a success without a signature: %s", id, a)
	}
}

// runLog counts the runs of each request.
type runLog struct {
	record *record
	mu     sync.Mutex
	count  map[string]int
}

func (l *runLog) add(backend, id string) {
	l.mu.Lock()
	l.count[id]++
	l.mu.Unlock()
	l.record.add("backend %s: runs request %s", backend, id)
}

func (l *runLog) of(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count[id]
}

// wireBackend is a backend that writes its answers itself, as `fleetbench wire` shows
// them.
type wireBackend struct {
	machine  *machine
	reporter *reporter
	runs     *runLog
	// extra makes it send some answers a second time or, with stray, stray bytes after
	// some answers.
	stray                            bool
	extra                            atomic.Bool
	requests, sheds, answers, extras atomic.Int64
}

func startWireBackend(ctx context.Context, m *machine, id string, runs *runLog, stray bool) (*wireBackend, error) {
	l, err := net.Listen("tcp", m.at(portApp))
	if err != nil {
		return nil, err
	}
	b := &wireBackend{machine: m, reporter: newReporter(m, id, 12), runs: runs, stray: stray}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	go b.reporter.run(ctx)
	return b, nil
}

// serve answers the requests of one connection, one at a time.
func (b *wireBackend) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var again []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if again != nil {
			b.runs.record.add("backend %s: sends %.12q before its answer to request %s", b.reporter.id, again, r.Header.Get("Request-Id"))
			b.extras.Add(1)
			_, _ = conn.Write(again)
			again = nil
		}
		text, shed := b.answer(r)
		b.answers.Add(1)
		if _, err := conn.Write(text); err != nil {
			return
		}
		switch {
		case !b.extra.Load():
		case b.stray && b.answers.Load()%strayEvery == 0:
			again = []byte(strayBytes)
		case !b.stray && shed && b.sheds.Add(1)%extraEvery == 0:
			again = text
		}
	}
}

// answer runs a request or sheds it.
func (b *wireBackend) answer(r *http.Request) (text []byte, shed bool) {
	var out bytes.Buffer
	id := r.Header.Get("Request-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.reporter.id {
		fmt.Fprintf(&out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.reporter.id)
		return out.Bytes(), false
	}
	if b.requests.Add(1)%shedEvery == 0 {
		b.runs.record.add("backend %s: is full, doesn't run request %s", b.reporter.id, id)
		out.WriteString("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return out.Bytes(), true
	}
	b.runs.add(b.reporter.id, id)
	time.Sleep(20 * time.Millisecond)
	body := "answer to " + id
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed.%s\r\nContent-Length: %d\r\n\r\n%s", id, b.reporter.id, len(body), body)
	return out.Bytes(), false
}
