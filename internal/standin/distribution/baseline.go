package distribution

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	adapter "github.com/daisytide/daisytide/platform"
)

const (
	storePollInterval = time.Second
	storeTimeout      = time.Second
)

// baseline is a stand-in store on loopback, with the state that both baseline
// fleets need.
type baseline struct {
	store       *store.Store
	storeURL    string
	server      *http.Server
	convergence *convergence
	ctx         context.Context
	cancel      context.CancelFunc
	loops       sync.WaitGroup
	traffic     link.Traffic
}

func newBaseline(nodes int) (*baseline, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &baseline{store: store.New(1), storeURL: "http://" + l.Addr().String(), convergence: newConvergence(nodes)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.store.OnPut(s.convergence.recordPut)
	s.server = &http.Server{Handler: s.store.Handler()}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *baseline) bytes() uint64    { return s.traffic.BytesSent.Load() + s.traffic.BytesReceived.Load() }
func (s *baseline) messages() uint64 { return s.traffic.MessagesSent.Load() }
func (s *baseline) churn(int)        {}

func (s *baseline) apply(_ int, text []byte) (uint64, error) { return storeApply(s.store, text) }

func (s *baseline) close() {
	s.cancel()
	_ = s.server.Close()
	s.loops.Wait()
}

// newHolder returns a snapshot holder that records when configurations come into
// force.
func (s *baseline) newHolder() *snapshot.Holder {
	var h snapshot.Holder
	var last uint64
	h.OnSwap(func(n *snapshot.Snapshot) {
		s.convergence.recordSwap(last, n.Number())
		last = n.Number()
	})
	return &h
}

// countedConn counts the bytes sent and received on a connection to the store.
type countedConn struct {
	net.Conn
	traffic *link.Traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.BytesReceived.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.BytesSent.Add(uint64(n))
	c.traffic.MessagesSent.Add(1)
	return n, err
}

// MeasureWatching measures a baseline fleet in which every node watches and polls
// the store.
func MeasureWatching(nodes int) (Result, error) {
	s, err := newBaseline(nodes)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	for range nodes {
		s.startWatcher()
	}
	time.Sleep(settleTime)
	return run(s, s.store, s.convergence)
}

// startWatcher starts the watch and poll loops of one node.
func (s *baseline) startWatcher() {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: c, traffic: &s.traffic}, nil
	}
	client := &adapter.StoreClient{
		Base: s.storeURL, HTTP: &http.Client{Transport: &http.Transport{DialContext: dial}}, Timeout: storeTimeout,
	}
	h := s.newHolder()
	s.loops.Go(func() {
		var after uint64
		for s.ctx.Err() == nil {
			entries, revision, err := client.Watch(s.ctx, kvstore.KeyConfig, after, kvstore.MaxWatchWait)
			if err != nil {
				continue
			}
			after = max(after, revision)
			for _, e := range entries {
				applyEnvelope(h, e.Value)
			}
		}
	})
	s.loops.Go(func() {
		ticker := time.NewTicker(storePollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-s.ctx.Done():
				return
			case <-ticker.C:
			}
			if e, err := client.Get(s.ctx, kvstore.KeyConfig); err == nil {
				applyEnvelope(h, e.Value)
			}
		}
	})
}

// applyEnvelope puts a configuration in force if it is newer, and reports whether
// it was.
func applyEnvelope(h *snapshot.Holder, envelope []byte) bool {
	if len(envelope) == 0 {
		return false
	}
	s, err := snapshot.Build(envelope)
	return err == nil && h.StoreIfNewer(s)
}

// flooder is a node that forwards each new document whole over all its links.
type flooder struct {
	fleet  *baseline
	holder *snapshot.Holder

	mu    sync.Mutex
	links map[link.Conn]chan *link.Message
}

// MeasureFlooding measures a baseline fleet in which whole documents are flooded
// over the topology that the nodes' gossip uses. Only the first node watches the
// store.
func MeasureFlooding(nodes int) (Result, error) {
	s, err := newBaseline(nodes)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	if err := s.startFlooders(nodes); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	return run(s, s.store, s.convergence)
}

func (s *baseline) startFlooders(nodes int) error {
	all := map[string]*flooder{}
	var records []membership.Record
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		f := &flooder{fleet: s, holder: s.newHolder(), links: map[link.Conn]chan *link.Message{}}
		server := &http.Server{Handler: http.HandlerFunc(f.accept)}
		go func() { _ = server.Serve(l) }()
		context.AfterFunc(s.ctx, func() { _ = server.Close() })
		address := l.Addr().String()
		all[address] = f
		records = append(records, membership.Record{Address: address, DataCentre: fmt.Sprint(i % DataCentres), State: membership.Alive})
	}
	dialer := link.Dialer{Traffic: &s.traffic}
	for from, neighbours := range gossip.NewTopology(records) {
		for _, to := range neighbours {
			if from > to {
				continue
			}
			c, err := dialer.Dial(s.ctx, to)
			if err != nil {
				return err
			}
			s.loops.Go(func() { all[from].serve(c) })
		}
	}
	first := all[records[0].Address]
	s.loops.Go(func() { s.follow(first) })
	return nil
}

// follow watches the store and forwards its documents through one node.
func (s *baseline) follow(f *flooder) {
	var after uint64
	for s.ctx.Err() == nil {
		entries, revision, err := s.store.Watch(s.ctx, kvstore.KeyConfig, after, kvstore.MaxWatchWait)
		if err != nil {
			continue
		}
		after = max(after, revision)
		for _, e := range entries {
			f.forward(e.Value, nil)
		}
	}
}

func (f *flooder) accept(w http.ResponseWriter, r *http.Request) {
	c, err := link.Accept(w, r, &f.fleet.traffic)
	if err == nil {
		f.serve(c)
	}
}

// floodQueue is the number of documents queued for a slow link.
const floodQueue = 2 * Changes

func (f *flooder) serve(c link.Conn) {
	defer c.Close()
	stop := context.AfterFunc(f.fleet.ctx, func() { _ = c.Close() })
	defer stop()
	out := make(chan *link.Message, floodQueue)
	f.mu.Lock()
	f.links[c] = out
	f.mu.Unlock()
	f.fleet.loops.Go(func() {
		for {
			select {
			case <-f.fleet.ctx.Done():
				return
			case m := <-out:
				_ = c.Send(f.fleet.ctx, m)
			}
		}
	})
	for {
		m, err := c.Receive(f.fleet.ctx)
		if err != nil {
			return
		}
		if m.ConfigBody != nil {
			f.forward(m.ConfigBody.Full, c)
		}
	}
}

func (f *flooder) forward(envelope []byte, from link.Conn) {
	if !applyEnvelope(f.holder, envelope) {
		return
	}
	m := &link.Message{ConfigBody: &link.ConfigBody{Number: f.holder.Current().Number(), Full: envelope}}
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, out := range f.links {
		if c != from {
			out <- m
		}
	}
}
