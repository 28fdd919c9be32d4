// Package logs writes structured log lines without blocking the caller. One
// writer drains a bounded queue; lines that do not fit are dropped, counted and
// reported later. The package also reads logs to explain a request.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Sizes and rates of the log.
const (
	// queueLines bounds the lines that wait for a blocked output. With about 300
	// bytes a line that is 600 KB.
	queueLines = 2048
	// reservedQueueDivisor sets the part of the queue that is reserved for lines
	// that are not about requests, such as warnings: capacity/reservedQueueDivisor.
	reservedQueueDivisor = 4
	// requestLinesPerSecond and requestLineBurst limit the rate of lines about
	// requests. Formatting one takes about 5 us.
	requestLinesPerSecond = 50
	requestLineBurst      = 200
	// dropReportInterval is the time between reports of omitted lines.
	dropReportInterval = 10 * time.Second
	// flushTimeout bounds the wait for the output in Close.
	flushTimeout = 200 * time.Millisecond
)

// Log is a queue of lines in front of an output. It is an io.Writer for slog
// handlers; each Write is one line.
type Log struct {
	out   io.Writer
	lines chan []byte
	// closing is closed by Close. lines stays open, since other goroutines may
	// still write while the process ends.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
	limiter *rate.Limiter

	// dropped counts the lines that found the queue full, withheld the lines about
	// requests that AllowRequestLine rejected.
	dropped, withheld atomic.Uint64
}

// New returns a Log that writes to out in its own goroutine until Close.
func New(out io.Writer) *Log {
	l := &Log{
		out: out, lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{}),
		limiter: rate.NewLimiter(requestLinesPerSecond, requestLineBurst),
	}
	go l.drain()
	return l
}

// Write implements io.Writer. It never blocks: it drops the line if the queue is
// full.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// AllowRequestLine reports whether another line about a request may be written,
// and counts it as withheld if not. Part of the queue is reserved for other
// lines.
func (l *Log) AllowRequestLine() bool {
	if l.limiter.Allow() && len(l.lines) < cap(l.lines)-cap(l.lines)/reservedQueueDivisor {
		return true
	}
	l.withheld.Add(1)
	return false
}

// Close writes the queued lines, for at most flushTimeout.
func (l *Log) Close() {
	l.once.Do(func() { close(l.closing) })
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}

func (l *Log) drain() {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			// A failed write cannot be reported, since this is the log's output.
			_, _ = l.out.Write(line)
		case <-l.closing:
			l.flush()
			return
		}
	}
}

// flush writes the lines that are queued.
func (l *Log) flush() {
	for {
		select {
		case line := <-l.lines:
			_, _ = l.out.Write(line)
		default:
			return
		}
	}
}

// Run periodically logs the numbers of omitted lines until ctx is cancelled.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		dropped, withheld := l.dropped.Swap(0), l.withheld.Swap(0)
		if dropped+withheld > 0 {
			slog.Warn("log lines left out", FieldDropped, dropped, FieldWithheld, withheld)
		}
	}
}

// Install makes l the output of slog and klog, in JSON.
func (l *Log) Install(level slog.Level) {
	logger := slog.New(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(logger)
	klog.SetSlogLogger(logger)
}
