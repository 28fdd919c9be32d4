package logs

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a line that Read accepts.
const maxLineBytes = 1 << 20

// Line is a decoded line of a process's log.
type Line struct {
	At time.Time `json:"at"`
	// Process is the name that a log collector wrote in front of the line, or the
	// name passed to Read.
	Process string         `json:"process"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// Step is a line about a request, with the latest line of each component of the
// same process before it, which shows the state that the process acted on.
type Step struct {
	Line
	// NodeState is named "beliefs" in JSON.
	NodeState []Line `json:"beliefs,omitempty"`
}

// components lists the message prefixes of the components whose lines show the
// state of a process.
var components = []string{"provider: ", "upstreams: ", "orders: ", "spread: ", "ingress: ", "egress: ", "registry: ", "store: ", "operated: ", "settings: "}

// Read reads the JSON lines of a log and skips all others. Text before the first
// brace of a line is taken for the prefix of a log collector, and its last word
// for the process.
func Read(r io.Reader, process string) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	var out []Line
	for s.Scan() {
		text := s.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[brace:]), &fields) != nil {
			continue
		}
		line := Line{Process: process, Fields: fields}
		if words := strings.Fields(text[:brace]); len(words) > 0 {
			line.Process = words[len(words)-1]
		}
		line.Message, _ = fields["msg"].(string)
		at, _ := fields["time"].(string)
		line.At, _ = time.Parse(time.RFC3339Nano, at)
		for _, k := range []string{"msg", "time", "level"} {
			delete(fields, k)
		}
		out = append(out, line)
	}
	return out, s.Err()
}

// Explain returns the lines about a request in order of time, each with the
// state of its process at that time.
func Explain(lines []Line, request string) []Step {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	latest := map[string]map[string]Line{}
	var out []Step
	for _, l := range lines {
		if id, _ := l.Fields[FieldRequest].(string); id == request {
			step := Step{Line: l}
			for _, component := range components {
				if state, ok := latest[l.Process][component]; ok {
					step.NodeState = append(step.NodeState, state)
				}
			}
			out = append(out, step)
			continue
		}
		for _, component := range components {
			if strings.HasPrefix(l.Message, component) {
				if latest[l.Process] == nil {
					latest[l.Process] = map[string]Line{}
				}
				latest[l.Process][component] = l
			}
		}
	}
	return out
}
