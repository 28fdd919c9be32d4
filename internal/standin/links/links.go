// Package links is a stand-in of the network between nodes: links in memory
// with loss, delay, reordering, doubling, damage, cuts and pauses, drawn from a
// seed.
package links

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/daisytide/daisytide/internal/conn/link"
)

// Faults are what messages meet on their way, each as a probability.
type Faults struct {
	Loss, Duplicate, Corrupt, Reorder float64
	// Delay is the longest time on the way.
	Delay time.Duration
}

// inboxSize is the number of messages that wait at an end.
const inboxSize = 128

// Net carries links in memory.
type Network struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	accept map[string]func(link.Conn)
	// group parts the network: addresses of different groups are cut off.
	group  map[string]int
	paused map[string][]func()
	// messages and bytes count what was sent, with the frames.
	messages, bytes int
}

// New returns a network whose random choices come from seed.
func New(seed uint64) *Network {
	return &Network{
		rng:    rand.New(rand.NewPCG(seed, 7)),
		accept: map[string]func(link.Conn){},
		group:  map[string]int{},
		paused: map[string][]func(){},
	}
}

// conn is one end of a link in memory.
type conn struct {
	net      *Network
	from, to string
	peer     *conn
	inbox    chan []byte
	closed   chan struct{}
	once     sync.Once
	// last is when the latest message arrives; without reordering none
	// overtakes it.
	last time.Time
}

var errCut = errors.New("the link is cut")

// Dialer dials for one address.
type Dialer struct {
	net  *Network
	from string
}

// Dialer returns the dialer of an address.
func (n *Network) Dialer(from string) Dialer { return Dialer{net: n, from: from} }

// Dial implements gossip.Dialer.
func (d Dialer) Dial(ctx context.Context, to string) (link.Conn, error) {
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
	a := &conn{net: n, from: d.from, to: to, inbox: make(chan []byte, inboxSize), closed: make(chan struct{})}
	b := &conn{net: n, from: to, to: d.from, inbox: make(chan []byte, inboxSize), closed: make(chan struct{}), peer: a}
	a.peer = b
	n.mu.Unlock()
	go accept(b)
	return a, nil
}

// Send implements link.Conn.
func (c *conn) Send(_ context.Context, m *link.Message) error {
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

// carry brings one message to the other end with the faults in force.
func (n *Network) carry(c *conn, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.faults
	n.messages++
	n.bytes += link.FrameSize(len(b), true)
	if n.group[c.from] != n.group[c.to] || n.rng.Float64() < w.Loss {
		return
	}
	if n.rng.Float64() < w.Corrupt {
		b[n.rng.IntN(len(b))] ^= byte(1 + n.rng.IntN(255))
		b = b[:len(b)-n.rng.IntN(len(b))/8]
	}
	copies := 1
	if n.rng.Float64() < w.Duplicate {
		copies = 2
	}
	for range copies {
		at := time.Now().Add(time.Duration(n.rng.Int64N(int64(w.Delay) + 1)))
		if n.rng.Float64() >= w.Reorder && at.Before(c.last) {
			at = c.last
		}
		c.last = at
		time.AfterFunc(time.Until(at), func() { n.deliver(c, b) })
	}
}

// deliver hands over a message; a paused end gets it when it wakes.
func (n *Network) deliver(c *conn, b []byte) {
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
func (c *conn) Receive(ctx context.Context) (*link.Message, error) {
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
func (c *conn) Close() error {
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

// Listen lets links to an address be accepted; nil ends it.
func (n *Network) Listen(address string, accept func(link.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if accept == nil {
		delete(n.accept, address)
		return
	}
	n.accept[address] = accept
}

// SetFaults changes what messages meet from now on.
func (n *Network) SetFaults(w Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = w
}

// Part puts addresses into a group of their own; group 0 is the rest.
func (n *Network) Partition(group int, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.group[a] = group
	}
}

// Reaches tells whether two addresses are neither cut off nor paused.
func (n *Network) Connected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, pausedA := n.paused[a]
	_, pausedB := n.paused[b]
	return n.group[a] == n.group[b] && !pausedA && !pausedB
}

// Pause holds all messages from and to an address until wake.
func (n *Network) Pause(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.paused[address]; !ok {
		n.paused[address] = nil
	}
}

// Wake delivers what a pause held.
func (n *Network) Resume(address string) {
	n.mu.Lock()
	held := n.paused[address]
	delete(n.paused, address)
	n.mu.Unlock()
	for _, deliver := range held {
		deliver()
	}
}

// Counts returns what was sent so far, with frames.
func (n *Network) Counts() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}
