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
	target   string
	listener net.Listener
	delay    atomic.Int64
	// refuse ends new connections at once.
	refuse atomic.Bool

	mu    sync.Mutex
	conns map[*proxyConn]bool
}

// proxied is one connection through a proxy.
type proxyConn struct {
	client, server net.Conn
	// mute drops the bytes of a direction for good: towards the target, back.
	blackholed [2]atomic.Bool
}

// NewProxy listens on a free port in front of target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[*proxyConn]bool{}}
	go p.serve()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetDelay holds each piece of bytes for a time; 0 ends it.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetRefusing ends new connections at once, or takes them again.
func (p *Proxy) SetRefusing(on bool) { p.refuse.Store(on) }

// ResetConnections ends every connection with a reset.
func (p *Proxy) ResetConnections() {
	for _, c := range p.openConns() {
		c.reset()
	}
}

// Blackhole lets the connections that stand go silent for good, towards the target,
// back, or both; new ones work.
func (p *Proxy) Blackhole(there, back bool) {
	for _, c := range p.openConns() {
		c.blackholed[0].Store(there)
		c.blackholed[1].Store(back)
	}
}

func (p *Proxy) openConns() []*proxyConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*proxyConn, 0, len(p.conns))
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

func (p *Proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			(&proxyConn{client: near}).reset()
			continue
		}
		go p.forward(near)
	}
}

func (p *Proxy) forward(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		(&proxyConn{client: near}).reset()
		return
	}
	c := &proxyConn{client: near, server: far}
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
func (p *Proxy) copy(c *proxyConn, direction int, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if d := time.Duration(p.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		if n > 0 && !c.blackholed[direction].Load() {
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

func (c *proxyConn) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}
