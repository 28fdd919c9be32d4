// Package logs writes structured lines to one output without ever making the
// caller wait: a bounded queue is drained by one writer, and what does not fit
// is counted and told of later.
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
	// queueLines bounds what waits for an output that is not read: at some 300
	// bytes a line that is 600 KB.
	queueLines = 2048
	// detailRoom is the part of the queue that lines below a warning leave free.
	detailRoom = 4
	// requestLines is how many lines on requests a second a node writes, and
	// requestBurst how many at once; formatting one takes some 5 us.
	requestLines = 50
	requestBurst = 200
	// tellEvery is the time between lines that tell what was left out.
	tellEvery = 10 * time.Second
	// flushWait bounds the wait for the output at the end.
	flushWait = 200 * time.Millisecond
)

// Log is a queue of lines in front of an output. It is an io.Writer for
// handlers of slog, each Write being one line.
type Log struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	limiter *rate.Limiter

	// dropped counts lines that found the queue full, withheld those on
	// requests beyond their rate.
	dropped, withheld atomic.Uint64
}

// New starts a log to out.
func New(out io.Writer) *Log {
	l := &Log{
		out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		limiter: rate.NewLimiter(requestLines, requestBurst),
	}
	go l.drain()
	return l
}

// Write implements io.Writer. It never waits.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Request tells whether one more line on a request may be written; a failure
// may always use what is left of the queue's room for warnings.
func (l *Log) AllowRequestLine() bool {
	if l.limiter.Allow() && len(l.lines) < cap(l.lines)-cap(l.lines)/detailRoom {
		return true
	}
	l.withheld.Add(1)
	return false
}

// Close writes what waits, for a short while.
func (l *Log) Close() {
	l.once.Do(func() { close(l.lines) })
	select {
	case <-l.done:
	case <-time.After(flushWait):
	}
}

func (l *Log) drain() {
	defer close(l.done)
	for line := range l.lines {
		// An output that fails has nowhere to be told of.
		_, _ = l.out.Write(line)
	}
}

// Run tells now and then what was left out, until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(tellEvery)
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

// Install makes l the output of slog and klog, as JSON lines.
func (l *Log) Install(level slog.Level) {
	logger := slog.New(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(logger)
	klog.SetSlogLogger(logger)
}
