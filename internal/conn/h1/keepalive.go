package h1

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Bounds after which a connection counts as dead although nothing closed it.
const (
	// unackedLimit is how long sent bytes may stay unacknowledged: above the
	// retransmissions of a few lost packets, below half of a short deadline.
	unackedLimit = 1200 * time.Millisecond
	// probeEvery and probeCount are the keep-alive probes of a quiet connection.
	probeEvery = time.Second
	probeCount = 2
	// tcpUserTimeout is Linux' TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 0x12
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount}

// setUserTimeout bounds unacknowledged bytes. Where the kernel refuses it the
// keep-alive probes remain.
func setUserTimeout(c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
	})
}

// Dialer returns a dialer whose connections notice silence.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// Listen opens a listener whose connections notice silence.
func Listen(address string) (net.Listener, error) {
	l := net.ListenConfig{
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
	return l.Listen(context.Background(), "tcp", address)
}

// quiet tells that an idle connection is open and nothing came on it.
func quiet(conn net.Conn) bool {
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
