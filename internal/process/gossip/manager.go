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

// Periods of the manager.
const (
	tickEvery   = 250 * time.Millisecond
	digestEvery = time.Second
	// silenceLimit ends a link on which three digests are missing.
	silenceLimit = 3500 * time.Millisecond
)

// Dialer opens links. link.Dialer implements it.
type Dialer interface {
	Dial(ctx context.Context, address string) (link.Conn, error)
}

// ConfigStore takes the configurations that arrive and tells of those held.
type ConfigStore interface {
	// HighestNumber is the highest number held, in force or not yet.
	HighestNumber() uint64
	// Offer offers a configuration that a peer sent.
	Offer(s *snapshot.Snapshot)
}

// Config is what a Manager works with.
type Config struct {
	Self    func() membership.Record
	Members *membership.Table
	// Holder gives the configuration that peers are told of.
	Holder      *snapshot.Holder
	ConfigStore ConfigStore
	Dialer      Dialer
	Traffic     *link.Traffic
	// SeedAddresses lists addresses to start from.
	SeedAddresses func() []string
	// IndirectProbe asks the node helper whether it reaches address.
	IndirectProbe func(ctx context.Context, helper, address string) (bool, error)
	// RandomSeed makes the random choices repeatable; 0 draws one.
	RandomSeed uint64
}

// Manager keeps this node's links and carries facts over them. Publish,
// ConfigChanged, Accept and ServeHTTP may be called from any goroutine.
type Manager struct {
	cfg    Config
	topics map[string]Topic
	wake   loop.Waker
	// ctx is the life of the links. It outlasts the context of Run, so that
	// a node that stops still spreads that it leaves.
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	accepts *rate.Limiter

	mu     sync.Mutex
	rng    *rand.Rand
	links  map[string]*peer
	choice choice
	// suspects are the members that this node found unreachable.
	suspects map[string]suspicion
	closing  bool
	// bootstrapNext and lostNext are the next dials beyond the graph.
	bootstrapNext time.Time
	lostNext      time.Time
	counters      Counters

	bodies bodies
	seen   seen
}

// Counters tells what a manager did since its start.
type Counters struct {
	// Accepted and Refused count the links that peers asked for.
	Accepted uint64
	Refused  uint64
	// Overflows counts messages dropped because a link's queue was full.
	Overflows uint64
	// Bodies and Deltas count configurations sent whole and as deltas.
	Bodies uint64
	Deltas uint64
	// Repairs counts facts sent because digests differed.
	Repairs uint64
}

// NewManager returns a manager without links.
func NewManager(cfg Config) *Manager {
	seed := cfg.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		cfg:      cfg,
		topics:   map[string]Topic{},
		wake:     loop.NewWaker(),
		ctx:      ctx,
		cancel:   cancel,
		accepts:  rate.NewLimiter(acceptRate, acceptBurst),
		rng:      rand.New(rand.NewPCG(seed, seed)),
		links:    map[string]*peer{},
		choice:   newChoice(),
		suspects: map[string]suspicion{},
		bodies:   newBodies(),
	}
}

// RegisterTopic adds a topic; it must be called before Run.
func (m *Manager) RegisterTopic(t Topic) { m.topics[t.Name()] = t }

// Wake makes the manager look at once whom to dial, such as when addresses
// have become known.
func (m *Manager) Wake() { m.wake.Wake() }

// LinkCount returns the number of links.
func (m *Manager) LinkCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// Counters returns what the manager did so far.
func (m *Manager) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}

func (m *Manager) count(fn func(*Counters)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(&m.counters)
}

// Publish implements Publisher.
func (m *Manager) Publish(topic string, item []byte) {
	m.broadcast(&link.Message{Items: &link.Items{Topic: topic, Encoded: [][]byte{item}}}, nil)
}

// broadcast sends a message over all links that wanted picks; nil picks all.
func (m *Manager) broadcast(msg *link.Message, wanted func(*peer) bool) {
	if err := msg.Preencode(); err != nil {
		klog.Errorf(logPrefix+"%v", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.links {
		if wanted == nil || wanted(p) {
			m.enqueue(p, msg)
		}
	}
}

// enqueue drops the message when the queue is full; the digest repairs it.
// The caller holds mu.
func (m *Manager) enqueue(p *peer, msg *link.Message) {
	select {
	case p.out <- outgoing{msg: msg}:
	default:
		m.counters.Overflows++
	}
}

// send queues a message for one peer.
func (m *Manager) send(p *peer, msg *link.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.enqueue(p, msg)
}

// Run keeps the links. It ends when CloseLinks is called, not with ctx: a
// node that stops goes on with its heartbeats while its requests end.
func (m *Manager) Run(context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	nextDigest := time.Now().Add(m.jitter(digestEvery))
	for {
		select {
		case <-m.ctx.Done():
			m.workers.Wait()
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
		now := time.Now()
		m.step(now)
		if !now.Before(nextDigest) {
			nextDigest = now.Add(digestEvery)
			m.cfg.Members.Expire(now)
			m.broadcast(m.digest(), nil)
		}
	}
}

// step does what is due: links to open and close, members to declare gone,
// configurations to pull from another peer.
func (m *Manager) step(now time.Time) {
	m.closeSilent(now)
	m.dialDue(now)
	m.closeUnwanted(now)
	m.settleSuspects(now)
	m.pullNext(now)
}

// CloseLinks sends what is queued, ends every link and then Run.
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

// Abort ends every link at once and then Run, as a crash does.
func (m *Manager) Abort() {
	m.mu.Lock()
	m.closing = true
	for _, p := range m.links {
		_ = p.conn.Close()
	}
	m.mu.Unlock()
	m.cancel()
}

// spawn runs fn as long as the links live; it must watch m.ctx.
func (m *Manager) spawn(fn func()) {
	m.workers.Go(fn)
}

// ServeHTTP takes a link from a peer; the key was checked.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Accept(w, r, m.cfg.Traffic)
	if err != nil {
		klog.Warningf(logPrefix+"%v", err)
		return
	}
	m.Accept(conn)
}

// jitter draws a span below d.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jitterLocked(d)
}

func (m *Manager) jitterLocked(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}
