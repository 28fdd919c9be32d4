package gossip

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
)

// Limits and timeouts of one link.
const (
	// sendQueueSize is the number of messages queued for a slow peer.
	sendQueueSize = 256
	// helloTimeout bounds the opening handshake.
	helloTimeout = time.Second
	// flushTimeout bounds the flushing of the queues on shutdown.
	flushTimeout = time.Second
	// replaceAfter is how long a peer must be silent before a new link with it
	// replaces the existing one.
	replaceAfter = 1500 * time.Millisecond
)

// peer is an established link.
type peer struct {
	address     string
	dataCentre  string
	incarnation uint64
	// initiator is the address of the node that dialled.
	initiator string
	// since is when the link was established.
	since     time.Time
	conn      link.Conn
	sendQueue chan outgoing
	// lastReceived is when the last message arrived, in Unix nanoseconds.
	lastReceived atomic.Int64
	// configNumber is the configuration number that the peer last reported.
	configNumber atomic.Uint64
	// digestReceived is set after the peer's first digest.
	digestReceived atomic.Bool
	// mismatches counts, per topic, the consecutive digests that differed.
	// Only readLoop uses it.
	mismatches map[string]int
	// forwards holds the items to forward to the peer.
	forwards forwardQueue
}

// outgoing is a queued message. A value with flushed set carries no message;
// the channel is closed once everything queued before has been sent.
type outgoing struct {
	msg     *link.Message
	flushed chan struct{}
}

func (m *Manager) newPeer(conn link.Conn, remote membership.Record, initiator string) *peer {
	p := &peer{
		address:     remote.Address,
		dataCentre:  remote.DataCentre,
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

// Accept serves a link that a peer dialled until it closes.
func (m *Manager) Accept(conn link.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
	defer cancel()
	first, err := conn.Receive(ctx)
	if err != nil || first.Hello == nil {
		return
	}
	if err := first.Hello.Self.Validate(); err != nil {
		klog.Warningf(logPrefix+"link refused: %v", err)
		return
	}
	if refused := m.admit(first.Hello); refused != nil {
		_ = conn.Send(ctx, &link.Message{Refusal: refused})
		return
	}
	if err := conn.Send(ctx, m.hello(false)); err != nil || first.Hello.Probe {
		return
	}
	m.serveLink(conn, first.Hello.Self, first.Hello.Self.Address)
}

// dial opens a link to address, exchanges hello messages and returns the peer's
// record. A refusal is returned as *api.Error, with the addresses that the peer
// suggests instead.
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
		err = api.Errorf(api.PeerFrame, "%s did not start with a hello message", address)
	case first.Hello.Self.Validate() != nil:
		err = first.Hello.Self.Validate()
	case first.Hello.Protocol != link.ProtocolVersion:
		err = api.Errorf(api.PeerVersion, "%s uses protocol version %d", address, first.Hello.Protocol)
	}
	if err != nil {
		_ = conn.Close()
		return nil, membership.Record{}, nil, err
	}
	return conn, first.Hello.Self, nil, nil
}

// serveLink runs a link until it closes.
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
		m.handleItems(p, &link.Items{Topic: membership.TopicName, Encoded: [][]byte{item}})
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
		if err := m.handleContained(p, msg); err != nil {
			klog.Warningf(logPrefix+"message from %s: %v", p.address, err)
			return
		}
	}
}

func (m *Manager) writeLoop(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-p.sendQueue:
			if next.flushed != nil {
				close(next.flushed)
				continue
			}
			if err := m.sendNow(ctx, p, next.msg); err != nil {
				klog.V(2).Infof(logPrefix+"link with %s: %v", p.address, err)
				return
			}
		}
	}
}

// sendNow sends a message and counts its bytes. A message for several peers has
// been encoded already.
func (m *Manager) sendNow(ctx context.Context, p *peer, msg *link.Message) error {
	if msg.EncodedSize() == 0 {
		if err := msg.Preencode(); err != nil {
			return err
		}
	}
	if err := p.conn.Send(ctx, msg); err != nil {
		return err
	}
	if m.cfg.OnSent != nil {
		m.cfg.OnSent(msg.Kind(), p.dataCentre, msg.EncodedSize())
	}
	return nil
}

// addLink registers a link and reports whether to keep it. Of two links
// between the same nodes both ends keep the one that the lower address
// dialled. A link of a newer incarnation replaces the old one, and so does any
// link if the old one has been silent.
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
	// The writer is counted under the lock that guards closing, so Run does
	// not miss it when it waits for the workers after closing was set.
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

// flushLinks waits until the messages queued so far are sent, for at most
// flushTimeout.
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

// handleContained processes one message. A panic becomes an error that closes the
// link, so that no message can end the process. The handlers hold locks only by
// deferred unlocks; what a panic leaves half merged is repaired by the digests on
// the next link.
func (m *Manager) handleContained(p *peer, msg *link.Message) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			m.updateCounters(func(c *Counters) { c.HandlerPanics++ })
			err = api.Errorf(api.PeerFrame, "the handler of a message panicked: %v\n%s", cause, debug.Stack())
		}
	}()
	m.handle(p, msg)
	return nil
}

// handle processes one message.
func (m *Manager) handle(p *peer, msg *link.Message) {
	switch {
	case msg.Digest != nil:
		m.handleDigest(p, msg.Digest)
	case msg.Items != nil:
		m.handleItems(p, msg.Items)
	case msg.BucketChecksums != nil:
		m.handleBuckets(p, msg.BucketChecksums)
	case msg.ItemRequest != nil:
		m.handleWant(p, msg.ItemRequest)
	case msg.ConfigAnnouncement != nil:
		m.recordPeerNumber(p, msg.ConfigAnnouncement.Number)
	case msg.ConfigRequest != nil:
		m.handlePull(p, msg.ConfigRequest)
	case msg.ConfigBody != nil:
		m.handleBody(p, msg.ConfigBody)
	}
}
