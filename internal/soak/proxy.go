package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy carries connections on loopback and harms them on order.
type Proxy struct {
	target string
	l      net.Listener
	delay  atomic.Int64
	// refuse ends new connections at once.
	refuse atomic.Bool

	mu    sync.Mutex
	conns map[*proxied]bool
}

// proxied is one connection through a proxy.
type proxied struct {
	near, far net.Conn
	// mute drops the bytes of a direction for good: towards the target, back.
	mute [2]atomic.Bool
}

// NewProxy listens on a free port in front of target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, l: l, conns: map[*proxied]bool{}}
	go p.serve()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.l.Addr().String() }

// Delay holds each piece of bytes for a time; 0 ends it.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// Refuse ends new connections at once, or takes them again.
func (p *Proxy) SetRefusing(on bool) { p.refuse.Store(on) }

// Reset ends every connection with a reset.
func (p *Proxy) ResetConnections() {
	for _, c := range p.open() {
		c.reset()
	}
}

// Mute lets the connections that stand go silent for good, towards the target,
// back, or both; new ones work.
func (p *Proxy) Blackhole(there, back bool) {
	for _, c := range p.open() {
		c.mute[0].Store(there)
		c.mute[1].Store(back)
	}
}

func (p *Proxy) open() []*proxied {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*proxied, 0, len(p.conns))
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

func (p *Proxy) serve() {
	for {
		near, err := p.l.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			(&proxied{near: near}).reset()
			continue
		}
		go p.carry(near)
	}
}

func (p *Proxy) carry(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		(&proxied{near: near}).reset()
		return
	}
	c := &proxied{near: near, far: far}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(c, 0, far, near) })
	both.Go(func() { p.copy(c, 1, near, far) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// copy carries one direction. Its end is passed on as the end of that direction,
// a failure as a reset of both.
func (p *Proxy) copy(c *proxied, direction int, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if d := time.Duration(p.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		if n > 0 && !c.mute[direction].Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if err == nil {
			continue
		}
		if t, ok := to.(*net.TCPConn); ok && err == io.EOF {
			_ = t.CloseWrite()
			return
		}
		c.reset()
		return
	}
}

func (c *proxied) reset() {
	for _, conn := range []net.Conn{c.near, c.far} {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}
