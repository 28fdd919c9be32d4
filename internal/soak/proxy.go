package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards TCP connections on loopback and injects faults into them.
type Proxy struct {
	target   atomic.Pointer[string]
	listener net.Listener
	delay    atomic.Int64
	// refuse makes the proxy reset new connections at once.
	refuse atomic.Bool
	// silent makes the proxy drop all bytes of new connections.
	silent atomic.Bool

	mu    sync.Mutex
	conns map[*proxyConn]bool
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	client, server net.Conn
	// blackholed drops all further bytes of a direction: 0 is towards the target,
	// 1 is back to the client.
	blackholed [2]atomic.Bool
}

// NewProxy listens on a free port in front of target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, conns: map[*proxyConn]bool{}}
	p.SetTarget(target)
	go p.serve()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetDelay delays each chunk of bytes by d; 0 removes the delay.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetRefusing makes the proxy reset new connections at once, or accept them
// again.
func (p *Proxy) SetRefusing(on bool) { p.refuse.Store(on) }

// SetTarget makes the proxy forward new connections to another address.
func (p *Proxy) SetTarget(address string) { p.target.Store(&address) }

// SetSilent makes the proxy drop all bytes of open and new connections. Connections that
// were silenced stay silent after the end of it.
func (p *Proxy) SetSilent(on bool) {
	p.silent.Store(on)
	if on {
		p.Blackhole(true, true)
	}
}

// ResetConnections closes every open connection with a TCP reset.
func (p *Proxy) ResetConnections() {
	for _, c := range p.openConns() {
		c.reset()
	}
}

// Blackhole drops all further bytes of the connections that are open now: those
// sent to the target, those sent back, or both. New connections work.
func (p *Proxy) Blackhole(toTarget, toClient bool) {
	for _, c := range p.openConns() {
		c.blackholed[0].Store(toTarget)
		c.blackholed[1].Store(toClient)
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
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			(&proxyConn{client: client}).reset()
			continue
		}
		go p.forward(client)
	}
}

// forward connects a client to the target until both directions have ended.
func (p *Proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", *p.target.Load(), time.Second)
	if err != nil {
		(&proxyConn{client: client}).reset()
		return
	}
	c := &proxyConn{client: client, server: server}
	p.mu.Lock()
	if p.silent.Load() {
		c.blackholed[0].Store(true)
		c.blackholed[1].Store(true)
	}
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(c, 0, server, client) })
	both.Go(func() { p.copy(c, 1, client, server) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards one direction. An end of file closes only that direction; an
// error resets both connections.
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
