package h1

import (
	"net"
	"time"
)

const (
	// minPaceChunk is the least that is written together of a paced message. At 10
	// Mbit/s it takes 13 ms, for which other messages wait.
	minPaceChunk = 16 << 10
	// paceInterval is the least time between two writes. Timers are late by up to a
	// millisecond.
	paceInterval = 5 * time.Millisecond
)

// Pace spreads the writing of a message, so that what is written to other connections
// meanwhile does not wait behind all of it in the buffers of the host's link.
type Pace struct {
	BytesPerSecond float64
}

// timeFor is how long a message takes.
func (p *Pace) timeFor(bytes int) time.Duration {
	if p == nil || p.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / p.BytesPerSecond * float64(time.Second))
}

// chunk returns how much of a message is written together; unpaced if p is nil.
func (p *Pace) chunk(unpaced int) int {
	if p == nil || p.BytesPerSecond <= 0 {
		return unpaced
	}
	return min(unpaced, max(minPaceChunk, int(p.BytesPerSecond*paceInterval.Seconds())))
}

// wait waits until the next part of a message may be written, of which sent bytes were
// written since began.
func (p *Pace) wait(began time.Time, sent int) {
	if p != nil {
		time.Sleep(time.Until(began.Add(p.timeFor(sent))))
	}
}

// write writes b, all at once if p is nil.
func (p *Pace) write(conn net.Conn, b []byte) error {
	if p.timeFor(len(b)) == 0 {
		_, err := conn.Write(b)
		return err
	}
	began := time.Now()
	chunk := p.chunk(len(b))
	for sent := 0; sent < len(b); {
		n, err := conn.Write(b[sent:min(sent+chunk, len(b))])
		if err != nil {
			return err
		}
		if sent += n; sent < len(b) {
			p.wait(began, sent)
		}
	}
	return nil
}
