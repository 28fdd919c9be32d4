package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
)

// Sizes and times of one link.
const (
	// sendQueue is the number of messages that wait for a slow peer.
	sendQueue = 256
	// helloTimeout bounds the exchange that opens a link.
	helloTimeout = time.Second
	// flushTimeout bounds the sending of what is queued at the end.
	flushTimeout = time.Second
	// replaceAfter is how long a peer may be silent before another link of
	// it takes the place of the one that stands.
	replaceAfter = 1500 * time.Millisecond
)

// peer is one link that stands.
type peer struct {
	address     string
	incarnation uint64
	// dialler is the address of the end that dialled.
	dialler string
	since   time.Time
	conn    link.Conn
	out     chan outgoing
	// heard is when the last message came, in nanoseconds.
	heard atomic.Int64
	// number is the highest configuration that the peer is known to hold.
	number atomic.Uint64
	// greeted tells whether the peer's first digest came.
	greeted atomic.Bool
	// differs counts, per topic, the digests in a row that differed. Only
	// the link's reader uses it.
	differs map[string]int
	// later holds the facts that wait to be passed on to the peer.
	later later
}

// outgoing is a message that waits; sent, where set, is closed after it.
type outgoing struct {
	msg  *link.Message
	sent chan struct{}
}

func (m *Manager) newPeer(conn link.Conn, other membership.Record, dialler string) *peer {
	p := &peer{
		address:     other.Address,
		incarnation: other.Incarnation,
		dialler:     dialler,
		since:       time.Now(),
		conn:        conn,
		out:         make(chan outgoing, sendQueue),
		differs:     map[string]int{},
	}
	p.heard.Store(p.since.UnixNano())
	return p
}

func (m *Manager) hello(probe bool) *link.Message {
	return &link.Message{Hello: &link.Hello{Protocol: link.ProtocolVersion, Self: m.cfg.Self(), Probe: probe}}
}

// Accept serves a link that a peer dialled, until it ends.
func (m *Manager) Accept(conn link.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
	defer cancel()
	first, err := conn.Receive(ctx)
	if err != nil || first.Hello == nil {
		return
	}
	if refused := m.admit(first.Hello); refused != nil {
		_ = conn.Send(ctx, &link.Message{Refusal: refused})
		return
	}
	if err := conn.Send(ctx, m.hello(false)); err != nil || first.Hello.Probe {
		return
	}
	m.serve(conn, first.Hello.Self, first.Hello.Self.Address)
}

// dial opens a link to address and returns the peer's record. A refusal comes
// back as *api.Error with the peers to try instead.
func (m *Manager) dial(address string, probe bool) (link.Conn, membership.Record, []string, error) {
	ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
	defer cancel()
	conn, err := m.cfg.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, membership.Record{}, nil, err
	}
	if err := conn.Send(ctx, m.hello(probe)); err != nil {
		_ = conn.Close()
		return nil, membership.Record{}, nil, err
	}
	first, err := conn.Receive(ctx)
	switch {
	case err != nil:
	case first.Refusal != nil:
		_ = conn.Close()
		return nil, membership.Record{}, first.Refusal.Alternatives, api.Errorf(first.Refusal.Code, "%s refused the link", address)
	case first.Hello == nil:
		err = api.Errorf(api.PeerFrame, "%s began without hello", address)
	case first.Hello.Protocol != link.ProtocolVersion:
		err = api.Errorf(api.PeerVersion, "%s speaks version %d", address, first.Hello.Protocol)
	}
	if err != nil {
		_ = conn.Close()
		return nil, membership.Record{}, nil, err
	}
	return conn, first.Hello.Self, nil, nil
}

// serve runs one link until it breaks.
func (m *Manager) serve(conn link.Conn, other membership.Record, dialler string) {
	defer conn.Close()
	p := m.newPeer(conn, other, dialler)
	if !m.add(p) {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	defer m.remove(p)
	go func() {
		defer m.workers.Done()
		defer cancel()
		defer conn.Close()
		m.write(ctx, p)
	}()
	if item, err := wire.Marshal(other); err == nil {
		_ = m.handleItems(p, &link.Items{Topic: membership.TopicName, Encoded: [][]byte{item}})
	}
	m.send(p, m.digest())
	m.read(ctx, p)
}

func (m *Manager) read(ctx context.Context, p *peer) {
	for {
		msg, err := p.conn.Receive(ctx)
		if err != nil {
			klog.V(2).Infof(logPrefix+"link with %s: %v", p.address, err)
			return
		}
		p.heard.Store(time.Now().UnixNano())
		if err := m.handle(p, msg); err != nil {
			klog.Warningf(logPrefix+"message of %s: %v", p.address, err)
			return
		}
	}
}

func (m *Manager) write(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-p.out:
			if o.sent != nil {
				close(o.sent)
				continue
			}
			if err := p.conn.Send(ctx, o.msg); err != nil {
				klog.V(2).Infof(logPrefix+"link with %s: %v", p.address, err)
				return
			}
		}
	}
}

// add enters a link. Of two links between the same nodes both ends keep the
// one that the lower address dialled; a link of a later start of the peer, or
// of a peer that has been silent, takes the place of the old one.
func (m *Manager) add(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing || p.address == m.cfg.Self().Address {
		return false
	}
	if old := m.links[p.address]; old != nil {
		silent := p.since.UnixNano()-old.heard.Load() > int64(replaceAfter)
		if p.incarnation <= old.incarnation && !silent && p.dialler >= old.dialler {
			return false
		}
		_ = old.conn.Close()
	}
	m.links[p.address] = p
	m.choice.reached(p.address)
	// Counted here, under the lock that closing is set under: Run waits for
	// the writers after that, and none is added any more.
	m.workers.Add(1)
	return true
}

func (m *Manager) remove(p *peer) {
	m.bodies.forget(p.address)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[p.address] != p {
		return
	}
	delete(m.links, p.address)
	m.lost(p)
}

// flushLinks waits until each queue was sent, within flushTimeout.
func flushLinks(links []*peer) {
	deadline := time.NewTimer(flushTimeout)
	defer deadline.Stop()
	for _, p := range links {
		sent := make(chan struct{})
		select {
		case p.out <- outgoing{sent: sent}:
		case <-deadline.C:
			return
		}
		select {
		case <-sent:
		case <-deadline.C:
			return
		}
	}
}

// handle takes one message; an error ends the link.
func (m *Manager) handle(p *peer, msg *link.Message) error {
	switch {
	case msg.Digest != nil:
		m.handleDigest(p, msg.Digest)
	case msg.Items != nil:
		return m.handleItems(p, msg.Items)
	case msg.BucketChecksums != nil:
		m.handleBuckets(p, msg.BucketChecksums)
	case msg.ItemRequest != nil:
		m.handleWant(p, msg.ItemRequest)
	case msg.ConfigAnnouncement != nil:
		m.heardOf(p, msg.ConfigAnnouncement.Number)
	case msg.ConfigRequest != nil:
		m.handlePull(p, msg.ConfigRequest)
	case msg.ConfigBody != nil:
		m.handleBody(p, msg.ConfigBody)
	}
	return nil
}
