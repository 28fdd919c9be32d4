package spread

import (
	"context"
	"crypto/rand"
	"math/big"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/process/member"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Periods and sizes of the thin spread.
const (
	digestEvery = time.Second
	redialEvery = time.Second
	dialTimeout = time.Second
	wantLinks   = 4
	sendQueue   = 256
)

const logPrefix = "spread: "

// Config is what a Manager works with.
type Config struct {
	Self    func() member.Record
	Members *member.Table
	Holder  *snapshot.Holder
	Dialer  *link.Dialer
	Traffic *link.Traffic
	Seeds   func() []string
}

// Manager keeps this node's links and carries facts over them.
type Manager struct {
	cfg Config

	mu     sync.Mutex
	topics map[string]Topic
	links  map[string]*peer
}

type peer struct {
	address string
	conn    link.Conn
	out     chan *link.Message
}

// NewManager returns a manager without links.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, topics: map[string]Topic{}, links: map[string]*peer{}}
}

// Register adds a topic; it must be called before Run.
func (m *Manager) Register(t Topic) { m.topics[t.Name()] = t }

// Links returns the number of links.
func (m *Manager) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// Publish implements Publisher.
func (m *Manager) Publish(topic string, item []byte) {
	m.broadcast(&link.Message{Facts: &link.Facts{Topic: topic, Items: [][]byte{item}}}, "")
}

// ConfigChanged announces the configuration in force over all links.
func (m *Manager) ConfigChanged(s *snapshot.Snapshot) {
	m.broadcast(&link.Message{Announce: &link.Announce{Number: s.Number(), Hash: s.Hash, Size: len(s.Envelope)}}, "")
}

func (m *Manager) broadcast(msg *link.Message, except string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.links {
		if address != except {
			p.enqueue(msg)
		}
	}
}

// enqueue drops the message when the queue is full; the digest repairs it.
func (p *peer) enqueue(msg *link.Message) {
	select {
	case p.out <- msg:
	default:
	}
}

// Run keeps links until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		m.dialMissing(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(redialEvery):
		}
	}
}

func (m *Manager) dialMissing(ctx context.Context) {
	candidates := m.candidates()
	if len(candidates) == 0 || m.Links() >= wantLinks {
		return
	}
	address := candidates[randomIndex(len(candidates))]
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.cfg.Dialer.Dial(dialCtx, address)
	if err != nil {
		klog.V(1).Infof(logPrefix+"no link to %s: %v", address, err)
		return
	}
	go m.serve(ctx, conn)
}

func (m *Manager) candidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	set := map[string]bool{}
	for _, a := range m.cfg.Seeds() {
		set[a] = true
	}
	for _, r := range m.cfg.Members.Index().Members {
		set[r.Address] = true
	}
	var out []string
	for a := range set {
		if a != m.cfg.Self().Address && m.links[a] == nil {
			out = append(out, a)
		}
	}
	return out
}

// ServeHTTP takes a link from a peer; the key was checked.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Accept(w, r, m.cfg.Traffic)
	if err != nil {
		klog.Warningf(logPrefix+"%v", err)
		return
	}
	m.serve(r.Context(), conn)
}

// serve runs one link until it breaks.
func (m *Manager) serve(ctx context.Context, conn link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.Close()
	if err := conn.Send(ctx, &link.Message{Hello: &link.Hello{Protocol: link.ProtocolVersion, Self: m.cfg.Self()}}); err != nil {
		return
	}
	first, err := conn.Receive(ctx)
	if err != nil || first.Hello == nil || first.Hello.Protocol != link.ProtocolVersion {
		return
	}
	p := &peer{address: first.Hello.Self.Address, conn: conn, out: make(chan *link.Message, sendQueue)}
	if !m.add(p) {
		return
	}
	defer m.remove(p)
	go m.write(ctx, cancel, p)
	for {
		msg, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		if err := m.handle(p, msg); err != nil {
			klog.Warningf(logPrefix+"message of %s: %v", p.address, err)
			return
		}
	}
}

// CloseLinks ends every link after what is queued was sent.
func (m *Manager) CloseLinks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.links {
		_ = p.conn.Close()
	}
}

func (m *Manager) add(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[p.address] != nil {
		return false
	}
	m.links[p.address] = p
	return true
}

func (m *Manager) remove(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[p.address] == p {
		delete(m.links, p.address)
	}
}

func (m *Manager) write(ctx context.Context, cancel context.CancelFunc, p *peer) {
	defer cancel()
	ticker := time.NewTicker(digestEvery)
	defer ticker.Stop()
	next := &link.Message{Digest: m.digest()}
	for {
		if err := p.conn.Send(ctx, next); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case next = <-p.out:
		case <-ticker.C:
			next = &link.Message{Digest: m.digest()}
		}
	}
}

func (m *Manager) digest() *link.Digest {
	d := &link.Digest{Topics: map[string]uint64{}}
	if s := m.cfg.Holder.Current(); s != nil {
		d.Number, d.Hash = s.Number(), s.Hash
	}
	for name, t := range m.topics {
		d.Topics[name] = t.Sum()
	}
	return d
}

func (m *Manager) handle(p *peer, msg *link.Message) error {
	switch {
	case msg.Digest != nil:
		m.handleDigest(p, msg.Digest)
	case msg.Facts != nil:
		return m.handleFacts(p, msg.Facts)
	case msg.Announce != nil:
		m.pullIfNewer(p, msg.Announce.Number)
	case msg.Pull != nil:
		m.handlePull(p)
	case msg.Body != nil:
		return m.handleBody(msg.Body)
	case msg.Want != nil:
		m.handleWant(p, msg.Want)
	}
	return nil
}

func (m *Manager) handleDigest(p *peer, d *link.Digest) {
	m.pullIfNewer(p, d.Number)
	for name, sum := range d.Topics {
		if t := m.topics[name]; t != nil && t.Sum() != sum {
			p.enqueue(&link.Message{Want: &link.Want{Topic: name}})
		}
	}
}

func (m *Manager) pullIfNewer(p *peer, number uint64) {
	if number > m.cfg.Holder.Current().Number() {
		p.enqueue(&link.Message{Pull: &link.Pull{Number: number}})
	}
}

func (m *Manager) handlePull(p *peer) {
	if s := m.cfg.Holder.Current(); s != nil {
		p.enqueue(&link.Message{Body: &link.Body{Number: s.Number(), Hash: s.Hash, Whole: s.Envelope}})
	}
}

func (m *Manager) handleBody(b *link.Body) error {
	s, err := snapshot.Build(b.Whole)
	if err != nil {
		return err
	}
	if s.Hash != b.Hash {
		return api.Errorf(api.PeerHash, "configuration %d", b.Number)
	}
	m.cfg.Holder.Offer(s)
	return nil
}

func (m *Manager) handleWant(p *peer, w *link.Want) {
	if t := m.topics[w.Topic]; t != nil {
		p.enqueue(&link.Message{Facts: &link.Facts{Topic: w.Topic, Items: t.Items()}})
	}
}

func (m *Manager) handleFacts(p *peer, f *link.Facts) error {
	t := m.topics[f.Topic]
	if t == nil {
		return nil
	}
	var news [][]byte
	for _, item := range f.Items {
		changed, err := t.Merge(item)
		if err != nil {
			return err
		}
		if changed {
			news = append(news, item)
		}
	}
	if len(news) > 0 {
		m.broadcast(&link.Message{Facts: &link.Facts{Topic: f.Topic, Items: news}}, p.address)
	}
	return nil
}

func randomIndex(n int) int {
	v, err := rand.Int(rand.Reader, big.NewInt(int64(n)))
	if err != nil {
		return 0
	}
	return int(v.Int64())
}
