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
	sendQueueSize = 256
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
	initiator string
	since     time.Time
	conn      link.Conn
	sendQueue chan outgoing
	// heard is when the last message came, in nanoseconds.
	lastReceived atomic.Int64
	// number is the highest configuration that the peer is known to hold.
	configNumber atomic.Uint64
	// greeted tells whether the peer's first digest came.
	digestReceived atomic.Bool
	// differs counts, per topic, the digests in a row that differed. Only
	// the link's reader uses it.
	mismatches map[string]int
	// later holds the facts that wait to be passed on to the peer.
	forwards forwardQueue
}

// outgoing is a message that waits; sent, where set, is closed after it.
type outgoing struct {
	msg     *link.Message
	flushed chan struct{}
}

func (m *Manager) newPeer(conn link.Conn, remote membership.Record, initiator string) *peer {
	p := &peer{
		address:     remote.Address,
		incarnation: remote.Incarnation,
		initiator:   initiator,
		since:       time.Now(),
		conn:        conn,
		sendQueue:   make(chan outgoing, sendQueueSize),
		mismatches:  map[string]int{},
	}
	p.lastReceived.Store(p.since.UnixNano())
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
		_ = conn.Send(ctx, &link.Message{Refused: refused})
		return
	}
	if err := conn.Send(ctx, m.hello(false)); err != nil || first.Hello.Probe {
		return
	}
	m.serveLink(conn, first.Hello.Self, first.Hello.Self.Address)
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
	case first.Refused != nil:
		_ = conn.Close()
		return nil, membership.Record{}, first.Refused.Try, api.Errorf(first.Refused.Code, "%s refused the link", address)
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
func (m *Manager) serveLink(conn link.Conn, remote membership.Record, initiator string) {
	defer conn.Close()
	p := m.newPeer(conn, remote, initiator)
	if !m.addLink(p) {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	defer m.removeLink(p)
	go func() {
		defer m.workers.Done()
		defer cancel()
		defer conn.Close()
		m.writeLoop(ctx, p)
	}()
	if item, err := wire.Marshal(remote); err == nil {
		_ = m.handleFacts(p, &link.Facts{Topic: membership.TopicName, Items: [][]byte{item}})
	}
	m.send(p, m.buildDigest())
	m.readLoop(ctx, p)
}

func (m *Manager) readLoop(ctx context.Context, p *peer) {
	for {
		msg, err := p.conn.Receive(ctx)
		if err != nil {
			klog.V(2).Infof(logPrefix+"link with %s: %v", p.address, err)
			return
		}
		p.lastReceived.Store(time.Now().UnixNano())
		if err := m.handle(p, msg); err != nil {
			klog.Warningf(logPrefix+"message of %s: %v", p.address, err)
			return
		}
	}
}

func (m *Manager) writeLoop(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-p.sendQueue:
			if o.flushed != nil {
				close(o.flushed)
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
func (m *Manager) addLink(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing || p.address == m.cfg.Self().Address {
		return false
	}
	if old := m.links[p.address]; old != nil {
		silent := p.since.UnixNano()-old.lastReceived.Load() > int64(replaceAfter)
		if p.incarnation <= old.incarnation && !silent && p.initiator >= old.initiator {
			return false
		}
		_ = old.conn.Close()
	}
	m.links[p.address] = p
	m.dials.recordSuccess(p.address)
	// Counted here, under the lock that closing is set under: Run waits for
	// the writers after that, and none is added any more.
	m.workers.Add(1)
	return true
}

func (m *Manager) removeLink(p *peer) {
	m.transfer.removePeer(p.address)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[p.address] != p {
		return
	}
	delete(m.links, p.address)
	m.linkLostLocked(p)
}

// flushLinks waits until each queue was sent, within flushTimeout.
func flushLinks(links []*peer) {
	deadline := time.NewTimer(flushTimeout)
	defer deadline.Stop()
	for _, p := range links {
		flushed := make(chan struct{})
		select {
		case p.sendQueue <- outgoing{flushed: flushed}:
		case <-deadline.C:
			return
		}
		select {
		case <-flushed:
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
	case msg.Facts != nil:
		return m.handleFacts(p, msg.Facts)
	case msg.Buckets != nil:
		m.handleBuckets(p, msg.Buckets)
	case msg.Want != nil:
		m.handleWant(p, msg.Want)
	case msg.Announce != nil:
		m.recordPeerNumber(p, msg.Announce.Number)
	case msg.Pull != nil:
		m.handlePull(p, msg.Pull)
	case msg.Body != nil:
		m.handleBody(p, msg.Body)
	}
	return nil
}
