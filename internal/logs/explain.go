package logs

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLine bounds one line of a log that is read.
const maxLine = 1 << 20

// Line is one line of a process's log.
type Line struct {
	At time.Time `json:"at"`
	// Process names the file, or the machine that a recorder wrote in front.
	Process string         `json:"process"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// Step is a line on a request with what its process believed then: the latest
// line of each part before it.
type Step struct {
	Line
	NodeState []Line `json:"beliefs,omitempty"`
}

// parts are the parts whose lines tell what a process believes.
var parts = []string{"provider: ", "upstreams: ", "orders: ", "spread: ", "ingress: ", "egress: ", "registry: ", "store: ", "operated: ", "settings: "}

// Read reads the JSON lines of one log; anything before a line's first brace
// is taken for what a recorder put there, its last word being the process.
func Read(r io.Reader, process string) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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

// Explain returns the lines on a request in order of time, each with what its
// process believed.
func Explain(lines []Line, request string) []Step {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	beliefs := map[string]map[string]Line{}
	var out []Step
	for _, l := range lines {
		if id, _ := l.Fields[FieldRequest].(string); id == request {
			step := Step{Line: l}
			for _, part := range parts {
				if b, ok := beliefs[l.Process][part]; ok {
					step.NodeState = append(step.NodeState, b)
				}
			}
			out = append(out, step)
			continue
		}
		for _, part := range parts {
			if strings.HasPrefix(l.Message, part) {
				if beliefs[l.Process] == nil {
					beliefs[l.Process] = map[string]Line{}
				}
				beliefs[l.Process][part] = l
			}
		}
	}
	return out
}
