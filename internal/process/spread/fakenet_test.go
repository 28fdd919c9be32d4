package spread_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/daisytide/daisytide/internal/conn/link"
)

// weather is what messages meet on their way, each as a probability.
type weather struct {
	loss, double, corrupt, reorder float64
	// delay is the longest time on the way.
	delay time.Duration
}

// inboxSize is the number of messages that wait at an end.
const inboxSize = 128

// fakeNet carries links between the nodes of one test in memory.
type fakeNet struct {
	mu      sync.Mutex
	rng     *rand.Rand
	weather weather
	accept  map[string]func(link.Conn)
	// group parts the network: addresses of different groups are cut off.
	group  map[string]int
	paused map[string][]func()
	// messages and bytes count what was sent, with the frames.
	messages, bytes int
}

func newFakeNet(seed uint64) *fakeNet {
	return &fakeNet{
		rng:    rand.New(rand.NewPCG(seed, 7)),
		accept: map[string]func(link.Conn){},
		group:  map[string]int{},
		paused: map[string][]func(){},
	}
}

// fakeConn is one end of a link in memory.
type fakeConn struct {
	net      *fakeNet
	from, to string
	peer     *fakeConn
	inbox    chan []byte
	closed   chan struct{}
	once     sync.Once
	// last is when the latest message arrives; without reordering none
	// overtakes it.
	last time.Time
}

var errCut = errors.New("the link is cut")

type fakeDialer struct {
	net  *fakeNet
	from string
}

// Dial implements spread.Dialer.
func (d fakeDialer) Dial(ctx context.Context, to string) (link.Conn, error) {
	n := d.net
	n.mu.Lock()
	accept := n.accept[to]
	reachable := n.group[d.from] == n.group[to]
	if accept == nil && reachable {
		n.mu.Unlock()
		return nil, errCut
	}
	if !reachable {
		n.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a := &fakeConn{net: n, from: d.from, to: to, inbox: make(chan []byte, inboxSize), closed: make(chan struct{})}
	b := &fakeConn{net: n, from: to, to: d.from, inbox: make(chan []byte, inboxSize), closed: make(chan struct{}), peer: a}
	a.peer = b
	n.mu.Unlock()
	go accept(b)
	return a, nil
}

// Send implements link.Conn.
func (c *fakeConn) Send(_ context.Context, m *link.Message) error {
	b, err := link.Encode(m)
	if err != nil {
		return err
	}
	select {
	case <-c.closed:
		return errCut
	default:
	}
	c.net.carry(c, slices.Clone(b))
	return nil
}

// carry brings one message to the other end as the weather has it.
func (n *fakeNet) carry(c *fakeConn, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.weather
	n.messages++
	n.bytes += link.FrameBytes(len(b), true)
	if n.group[c.from] != n.group[c.to] || n.rng.Float64() < w.loss {
		return
	}
	if n.rng.Float64() < w.corrupt {
		b[n.rng.IntN(len(b))] ^= byte(1 + n.rng.IntN(255))
		b = b[:len(b)-n.rng.IntN(len(b))/8]
	}
	copies := 1
	if n.rng.Float64() < w.double {
		copies = 2
	}
	for range copies {
		at := time.Now().Add(time.Duration(n.rng.Int64N(int64(w.delay) + 1)))
		if n.rng.Float64() >= w.reorder && at.Before(c.last) {
			at = c.last
		}
		c.last = at
		time.AfterFunc(time.Until(at), func() { n.deliver(c, b) })
	}
}

// deliver hands over a message; a paused end gets it when it wakes.
func (n *fakeNet) deliver(c *fakeConn, b []byte) {
	n.mu.Lock()
	for _, a := range []string{c.from, c.to} {
		if held, ok := n.paused[a]; ok {
			n.paused[a] = append(held, func() { n.deliver(c, b) })
			n.mu.Unlock()
			return
		}
	}
	n.mu.Unlock()
	select {
	case c.peer.inbox <- b:
	case <-c.peer.closed:
	default:
	}
}

// Receive implements link.Conn.
func (c *fakeConn) Receive(ctx context.Context) (*link.Message, error) {
	select {
	case b := <-c.inbox:
		return link.Decode(b)
	default:
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.closed:
		return nil, errCut
	case b := <-c.inbox:
		return link.Decode(b)
	}
}

// Close implements link.Conn; the other end learns of it, after what was sent,
// unless it is cut.
func (c *fakeConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		together := c.net.group[c.from] == c.net.group[c.to]
		after := max(0, time.Until(c.last)) + time.Millisecond
		c.net.mu.Unlock()
		if together {
			time.AfterFunc(after, func() { _ = c.peer.Close() })
		}
	})
	return nil
}

func (n *fakeNet) listen(address string, accept func(link.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if accept == nil {
		delete(n.accept, address)
		return
	}
	n.accept[address] = accept
}

func (n *fakeNet) setWeather(w weather) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.weather = w
}

// part puts addresses into a group of their own; group 0 is the rest.
func (n *fakeNet) part(group int, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.group[a] = group
	}
}

func (n *fakeNet) reaches(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, pausedA := n.paused[a]
	_, pausedB := n.paused[b]
	return n.group[a] == n.group[b] && !pausedA && !pausedB
}

// pause holds all messages from and to an address until wake.
func (n *fakeNet) pause(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.paused[address]; !ok {
		n.paused[address] = nil
	}
}

func (n *fakeNet) wake(address string) {
	n.mu.Lock()
	held := n.paused[address]
	delete(n.paused, address)
	n.mu.Unlock()
	for _, deliver := range held {
		deliver()
	}
}

func (n *fakeNet) counts() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}
