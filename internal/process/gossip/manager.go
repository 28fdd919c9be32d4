package gossip

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/process/loop"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

const logPrefix = "spread: "

// Intervals of the manager.
const (
	tickInterval   = 250 * time.Millisecond
	digestInterval = time.Second
	// silenceTimeout closes a link after three missing digests.
	silenceTimeout = 3500 * time.Millisecond
)

// Dialer opens links. link.Dialer implements it.
type Dialer interface {
	Dial(ctx context.Context, address string) (link.Conn, error)
}

// ConfigStore stores the configurations received from peers.
type ConfigStore interface {
	// HighestNumber returns the highest configuration number held, in force
	// or not.
	HighestNumber() uint64
	// Offer stores a configuration received from a peer; the store decides when
	// it comes into force.
	Offer(s *snapshot.Snapshot)
}

// ConfigObserver is told of the configurations of peers. Its methods must not block.
type ConfigObserver interface {
	// HeardFromPeer reports the number of the configuration that a peer holds.
	HeardFromPeer(peer string, number uint64, now time.Time)
	// RefusedFromPeer reports that a configuration of a peer is not usable here. The
	// observer logs it.
	RefusedFromPeer(peer string, number uint64, reason error, now time.Time)
}

// Config holds the dependencies and settings of a Manager.
type Config struct {
	Self    func() membership.Record
	Members *membership.Table
	// Holder holds the configuration that is announced to peers.
	Holder      *snapshot.Holder
	ConfigStore ConfigStore
	Dialer      Dialer
	Traffic     *link.Traffic
	// SeedAddresses lists the addresses to bootstrap from.
	SeedAddresses func() []string
	// IndirectProbe asks the node helper whether it reaches address.
	IndirectProbe func(ctx context.Context, helper, address string) (bool, error)
	// OnSent, if set, is called for each message sent, with its kind, the data
	// centre of the peer and its size in bytes.
	OnSent func(kind, dataCentre string, bytes int)
	// ConfigObserver may be nil; the manager then logs refusals itself.
	ConfigObserver ConfigObserver
	// RandomSeed seeds the random generator; 0 draws a seed.
	RandomSeed uint64
}

// Manager maintains this node's links and gossips items and configurations
// over them. Publish, ConfigChanged, Accept and ServeHTTP may be called from
// any goroutine.
type Manager struct {
	cfg    Config
	topics map[string]Topic
	waker  loop.Waker
	// ctx is the lifetime of the links. It outlasts the context of Run, so
	// that a stopping node can still publish that it is leaving.
	ctx           context.Context
	cancel        context.CancelFunc
	workers       sync.WaitGroup
	acceptLimiter *rate.Limiter

	mu    sync.Mutex
	rng   *rand.Rand
	links map[string]*peer
	dials dialPolicy
	// suspicions holds the members that this node will declare Gone, by address.
	suspicions map[string]suspicion
	closing    bool
	// nextBootstrap and nextLostDial are the earliest times of the next dials
	// outside the topology.
	nextBootstrap time.Time
	nextLostDial  time.Time
	counters      Counters
	// invalidItemLogged is when an invalid item was last logged.
	invalidItemLogged time.Time

	transfer configTransfer
	recent   recentHashes
}

// Counters counts the events of a manager since its start. /debug/vars
// publishes the fields under their Go names.
type Counters struct {
	// Accepted and Refused count the links that peers requested.
	Accepted uint64
	Refused  uint64
	// Overflows counts messages dropped because a link's queue was full.
	Overflows uint64
	// Bodies and Deltas count configurations sent complete and as deltas.
	Bodies uint64
	Deltas uint64
	// Repairs counts items sent by anti-entropy.
	Repairs uint64
	// InvalidItems counts received items that were left out because they could
	// not be decoded or had an invalid field.
	InvalidItems uint64
	// HandlerPanics counts messages whose handler panicked.
	HandlerPanics uint64
}

// NewManager returns a manager without links.
func NewManager(cfg Config) *Manager {
	seed := cfg.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		cfg:           cfg,
		topics:        map[string]Topic{},
		waker:         loop.NewWaker(),
		ctx:           ctx,
		cancel:        cancel,
		acceptLimiter: rate.NewLimiter(acceptRate, acceptBurst),
		rng:           rand.New(rand.NewPCG(seed, seed)),
		links:         map[string]*peer{},
		dials:         newDialPolicy(),
		suspicions:    map[string]suspicion{},
		transfer:      newConfigTransfer(),
	}
}

// RegisterTopic adds a topic; it must be called before Run.
func (m *Manager) RegisterTopic(t Topic) { m.topics[t.Name()] = t }

// Wake runs the manager's next step at once, for example when new addresses
// have been found.
func (m *Manager) Wake() { m.waker.Wake() }

// LinkCount returns the number of established links.
func (m *Manager) LinkCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// Counters returns the current counters.
func (m *Manager) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}

func (m *Manager) updateCounters(fn func(*Counters)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(&m.counters)
}

// Publish implements Publisher.
func (m *Manager) Publish(topic string, item []byte) {
	m.broadcast(&link.Message{Items: &link.Items{Topic: topic, Encoded: [][]byte{item}}}, func(p *peer) bool { return m.inScope(topic, p) })
}

// inScope reports whether items of a topic may be sent to a peer.
func (m *Manager) inScope(topic string, p *peer) bool {
	_, local := m.topics[topic].(DataCentreTopic)
	return !local || p.dataCentre == m.cfg.Self().DataCentre
}

// broadcast queues a message for each peer for which include returns true; a nil
// include selects all peers.
func (m *Manager) broadcast(msg *link.Message, include func(*peer) bool) {
	if err := msg.Preencode(); err != nil {
		klog.Errorf(logPrefix+"%v", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.links {
		if include == nil || include(p) {
			m.enqueueLocked(p, msg)
		}
	}
}

// enqueueLocked queues a message for a peer and drops it if the queue is full;
// the digest exchange repairs the loss. The caller holds mu.
func (m *Manager) enqueueLocked(p *peer, msg *link.Message) {
	select {
	case p.sendQueue <- outgoing{msg: msg}:
	default:
		m.counters.Overflows++
	}
}

// send queues a message for one peer.
func (m *Manager) send(p *peer, msg *link.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.enqueueLocked(p, msg)
}

// Run maintains the links. It returns after CloseLinks or Abort, not when ctx
// ends: a stopping node keeps sending digests while its requests finish.
func (m *Manager) Run(context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextDigest := time.Now().Add(m.jitter(digestInterval))
	for {
		select {
		case <-m.ctx.Done():
			m.workers.Wait()
			return nil
		case <-ticker.C:
		case <-m.waker:
		}
		now := time.Now()
		m.step(now)
		if !now.Before(nextDigest) {
			nextDigest = now.Add(digestInterval)
			m.cfg.Members.Expire(now)
			m.broadcast(m.buildDigest(), nil)
		}
	}
}

// step performs the periodic work: closing and opening links, expiring
// suspicions and retrying pulls from another peer.
func (m *Manager) step(now time.Time) {
	m.closeSilentLinks(now)
	m.dialDue(now)
	m.closeSurplusLinks(now)
	m.expireSuspicions(now)
	m.startNextPull(now)
}

// CloseLinks flushes the queues, closes every link and stops Run.
func (m *Manager) CloseLinks() {
	m.mu.Lock()
	m.closing = true
	links := make([]*peer, 0, len(m.links))
	for _, p := range m.links {
		links = append(links, p)
	}
	m.mu.Unlock()
	flushLinks(links)
	m.cancel()
	for _, p := range links {
		_ = p.conn.Close()
	}
}

// Abort closes every link without flushing and stops Run, as a crash would.
func (m *Manager) Abort() {
	m.mu.Lock()
	m.closing = true
	for _, p := range m.links {
		_ = p.conn.Close()
	}
	m.mu.Unlock()
	m.cancel()
}

// spawn runs fn in a goroutine that Run waits for; fn must return when m.ctx
// ends.
func (m *Manager) spawn(fn func()) {
	m.workers.Go(fn)
}

// ServeHTTP accepts a link from a peer; the caller has verified the peer key.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Accept(w, r, m.cfg.Traffic)
	if err != nil {
		klog.Warningf(logPrefix+"%v", err)
		return
	}
	m.Accept(conn)
}

// jitter returns a random duration of at most d.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jitterLocked(d)
}

func (m *Manager) jitterLocked(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}
