// Package links is a stand-in for the network between nodes: in-memory links with
// seeded random loss, delay, reordering, duplication and corruption of messages,
// network partitions and paused nodes.
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

// Faults are the faults injected into messages.
type Faults struct {
	// Loss, Duplicate, Corrupt and Reorder are probabilities.
	Loss, Duplicate, Corrupt, Reorder float64
	// Delay is the longest delivery time.
	Delay time.Duration
}

// inboxSize is the number of undelivered messages that an end of a link queues.
const inboxSize = 128

// Network connects addresses by in-memory links.
type Network struct {
	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	listeners map[string]func(link.Conn)
	// groups holds the partition of each address; addresses in different groups
	// cannot reach each other.
	groups map[string]int
	// paused holds the deliveries that wait for each paused address.
	paused map[string][]func()
	// messages and bytes count what was sent, with frame headers.
	messages, bytes int
}

// New returns a network without faults. seed determines its random choices.
func New(seed uint64) *Network {
	return &Network{
		random:    rand.New(rand.NewPCG(seed, 7)),
		listeners: map[string]func(link.Conn){},
		groups:    map[string]int{},
		paused:    map[string][]func(){},
	}
}

// conn is one end of an in-memory link.
type conn struct {
	net      *Network
	from, to string
	peer     *conn
	inbox    chan []byte
	closed   chan struct{}
	once     sync.Once
	// lastArrival is when the latest message arrives. Without reordering, no
	// later message arrives earlier.
	lastArrival time.Time
}

var errClosed = errors.New("the in-memory link is closed")

// Dialer dials links from one address.
type Dialer struct {
	net  *Network
	from string
}

// Dialer returns the dialer for an address.
func (n *Network) Dialer(from string) Dialer { return Dialer{net: n, from: from} }

// Dial implements gossip.Dialer. Across a partition it blocks until ctx ends, as
// a dial to an unreachable host does.
func (d Dialer) Dial(ctx context.Context, to string) (link.Conn, error) {
	n := d.net
	n.mu.Lock()
	accept := n.listeners[to]
	reachable := n.groups[d.from] == n.groups[to]
	if accept == nil && reachable {
		n.mu.Unlock()
		return nil, errClosed
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
		return errClosed
	default:
	}
	c.net.transmit(c, slices.Clone(b))
	return nil
}

// transmit sends one message to the other end, with the current faults.
func (n *Network) transmit(c *conn, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults
	n.messages++
	n.bytes += link.FrameSize(len(b), true)
	if n.groups[c.from] != n.groups[c.to] || n.random.Float64() < f.Loss {
		return
	}
	if n.random.Float64() < f.Corrupt {
		b[n.random.IntN(len(b))] ^= byte(1 + n.random.IntN(255))
		b = b[:len(b)-n.random.IntN(len(b))/8]
	}
	copies := 1
	if n.random.Float64() < f.Duplicate {
		copies = 2
	}
	for range copies {
		at := time.Now().Add(time.Duration(n.random.Int64N(int64(f.Delay) + 1)))
		if n.random.Float64() >= f.Reorder && at.Before(c.lastArrival) {
			at = c.lastArrival
		}
		c.lastArrival = at
		time.AfterFunc(time.Until(at), func() { n.deliver(c, b) })
	}
}

// deliver puts a message into the inbox of the other end. While either end is
// paused it is held back; when the inbox is full it is lost.
func (n *Network) deliver(c *conn, b []byte) {
	n.mu.Lock()
	for _, a := range []string{c.from, c.to} {
		if pending, ok := n.paused[a]; ok {
			n.paused[a] = append(pending, func() { n.deliver(c, b) })
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
		return nil, errClosed
	case b := <-c.inbox:
		return link.Decode(b)
	}
}

// Close implements link.Conn. The other end is closed too, after the messages
// sent before have arrived, unless a partition separates the ends.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		connected := c.net.groups[c.from] == c.net.groups[c.to]
		after := max(0, time.Until(c.lastArrival)) + time.Millisecond
		c.net.mu.Unlock()
		if connected {
			time.AfterFunc(after, func() { _ = c.peer.Close() })
		}
	})
	return nil
}

// Listen accepts links to an address with accept; nil stops listening.
func (n *Network) Listen(address string, accept func(link.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if accept == nil {
		delete(n.listeners, address)
		return
	}
	n.listeners[address] = accept
}

// SetFaults sets the faults of messages sent from now on.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Partition moves addresses into a partition group. Group 0 holds all others.
func (n *Network) Partition(group int, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.groups[a] = group
	}
}

// Connected reports whether two addresses are in one partition and neither is
// paused.
func (n *Network) Connected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, pausedA := n.paused[a]
	_, pausedB := n.paused[b]
	return n.groups[a] == n.groups[b] && !pausedA && !pausedB
}

// Pause holds back all messages from and to an address until Resume.
func (n *Network) Pause(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.paused[address]; !ok {
		n.paused[address] = nil
	}
}

// Resume ends a pause and delivers the messages that it held back.
func (n *Network) Resume(address string) {
	n.mu.Lock()
	pending := n.paused[address]
	delete(n.paused, address)
	n.mu.Unlock()
	for _, deliver := range pending {
		deliver()
	}
}

// Counts returns the messages and bytes sent so far, with frame headers.
func (n *Network) Counts() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}
