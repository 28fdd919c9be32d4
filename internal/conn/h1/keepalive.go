package h1

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Timeouts after which a connection counts as dead because the peer acknowledges
// nothing.
const (
	// unackedTimeout is how long sent bytes may stay unacknowledged: longer than
	// the retransmissions of a few lost packets, shorter than half of a short
	// request deadline.
	unackedTimeout = 1200 * time.Millisecond
	// probeInterval and probeCount configure TCP keep-alive probes.
	probeInterval = time.Second
	probeCount    = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// setUserTimeout sets the time that sent bytes may stay unacknowledged. If the
// kernel rejects the option, dead peers are detected only by keep-alive probes.
func setUserTimeout(c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}

// Dialer returns a dialer whose connections fail when the peer stops
// acknowledging packets.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// Listen opens a TCP listener whose connections fail when the peer stops
// acknowledging packets.
func Listen(address string) (net.Listener, error) {
	l := net.ListenConfig{
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
	return l.Listen(context.Background(), "tcp", address)
}

// isOpenAndSilent reports whether an idle connection is open and no unread bytes
// have arrived on it.
func isOpenAndSilent(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
