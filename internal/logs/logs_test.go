package logs

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out)
	logger := slog.New(slog.NewJSONHandler(l, nil))
	done := make(chan struct{})
	go func() {
		for range 4 * queueLines {
			logger.Info("line")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks on the output")
	}
	if l.dropped.Load() < 3*queueLines-1 {
		t.Errorf("%d lines counted as dropped", l.dropped.Load())
	}
	close(out.release)
	l.Close()
}

func TestRequestLinesAreRateLimitedAndCounted(t *testing.T) {
	l := New(&blockedWriter{release: make(chan struct{})})
	allowed := 0
	for range 10 * requestLineBurst {
		if l.AllowRequestLine() {
			allowed++
		}
	}
	if allowed > requestLineBurst+requestLinesPerSecond || l.withheld.Load() == 0 {
		t.Errorf("%d lines allowed in a burst, %d withheld", allowed, l.withheld.Load())
	}
}

// syncBuffer is a bytes.Buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestExplainReturnsRequestLinesWithNodeState(t *testing.T) {
	previous := slog.Default()
	defer slog.SetDefault(previous)
	defer klog.ClearLogger()
	var out syncBuffer
	l := New(&out)
	l.Install(slog.LevelInfo)
	slog.Info("provider: configuration in force", FieldConfig, 7)
	slog.Info(MessageRequestAtGate, FieldRequest, "r1", FieldCode, "4003 call-shed")
	slog.Info("provider: configuration in force", FieldConfig, 8)
	slog.Info(MessageRequestEnded, FieldRequest, "r1", FieldStatus, 503)
	slog.Info(MessageRequestEnded, FieldRequest, "r2", FieldStatus, 200)
	l.Close()
	var recorded strings.Builder
	for line := range strings.Lines(out.String()) {
		fmt.Fprint(&recorded, "  1.25 node-3 ", line)
	}
	lines, err := Read(strings.NewReader(recorded.String()+"no line\n{broken\n"), "file")
	if err != nil {
		t.Fatal(err)
	}
	steps := Explain(lines, "r1")
	if len(steps) != 2 || steps[0].Message != MessageRequestAtGate || steps[0].Process != "node-3" {
		t.Fatalf("%+v", steps)
	}
	for i, want := range []float64{7, 8} {
		if len(steps[i].NodeState) != 1 || steps[i].NodeState[0].Fields[FieldConfig] != want {
			t.Errorf("step %d: %+v", i, steps[i].NodeState)
		}
	}
}

// The table of fields in docs/OPERATIONS.md must list every field of log lines.
func TestFieldsAreListedInOperationsDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	file, err := parser.ParseFile(token.NewFileSet(), "fields.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(v.Names[0].Name, "Field") {
			return true
		}
		name := strings.Trim(v.Values[0].(*ast.BasicLit).Value, `"`)
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("docs/OPERATIONS.md lacks the field %s", name)
		}
		return true
	})
}

// Goroutines that outlive Close may still write; that must not end the process with a
// panic in the midst of its shutdown.
func TestWriteAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	l := New(&out)
	if _, err := l.Write([]byte("before\n")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, err := l.Write([]byte("after\n")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if out.String() != "before\n" {
		t.Errorf("written: %q", out.String())
	}
}
