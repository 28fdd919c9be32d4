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

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestOutputThatIsNotReadDelaysNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
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
		t.Fatal("writing waits for the output")
	}
	if l.dropped.Load() < 3*queueLines-1 {
		t.Errorf("%d lines counted as left out", l.dropped.Load())
	}
	close(out.release)
	l.Close()
}

func TestLinesOnRequestsAreBoundedAndCounted(t *testing.T) {
	l := New(&stuck{release: make(chan struct{})})
	allowed := 0
	for range 10 * requestBurst {
		if l.AllowRequestLine() {
			allowed++
		}
	}
	if allowed > requestBurst+requestLines || l.withheld.Load() == 0 {
		t.Errorf("%d lines at once, %d withheld", allowed, l.withheld.Load())
	}
}

// buffer is a bytes.Buffer for several goroutines.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestRequestIsExplainedWithTheBeliefsOfItsNodes(t *testing.T) {
	before := slog.Default()
	defer slog.SetDefault(before)
	defer klog.ClearLogger()
	var out buffer
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

// Every field that lines use stands in the table of docs/OPERATIONS.md.
func TestFieldsStandInTheOperatorsTable(t *testing.T) {
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
