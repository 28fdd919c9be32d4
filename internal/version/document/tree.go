package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"unicode/utf8"

	"github.com/daisytide/daisytide/api"
)

// maxDepth bounds the nesting of objects and arrays.
const maxDepth = 16

// value is one JSON value of a document's text with its place.
type value struct {
	line    int
	members []member
	items   []value
	// token is the delimiter that opened the value, or the scalar itself.
	token json.Token
}

// member is one field of an object.
type member struct {
	name  string
	line  int
	value value
}

func (v *value) isObject() bool { return v.token == json.Delim('{') }
func (v *value) isArray() bool  { return v.token == json.Delim('[') }

// reader turns a text into a tree of values, by the tokens of encoding/json.
// After an error it yields no further values, so the tree holds what came
// before.
type reader struct {
	text   []byte
	tokens *json.Decoder
	// starts are the offsets at which lines start.
	starts []int
	fault  *api.Fault
}

func newReader(text []byte) *reader {
	r := &reader{text: text, tokens: json.NewDecoder(bytes.NewReader(text)), starts: []int{0}}
	r.tokens.UseNumber()
	for i, b := range text {
		if b == '\n' {
			r.starts = append(r.starts, i+1)
		}
	}
	return r
}

// readTree reads the whole text. The fault is nil when the text is one JSON
// value and nothing else.
func readTree(text []byte) (value, *api.Fault) {
	r := newReader(text)
	if at := invalidUTF8(text); at >= 0 {
		r.fail(nil, r.lineOf(at), "the text is not UTF-8")
		return value{}, r.fault
	}
	root := r.value(nil, 0)
	if r.fault == nil {
		r.end()
	}
	return root, r.fault
}

// invalidUTF8 returns the offset of the first wrong byte, or -1.
func invalidUTF8(text []byte) int {
	if utf8.Valid(text) {
		return -1
	}
	for i := 0; i < len(text); {
		c, size := utf8.DecodeRune(text[i:])
		if c == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

func (r *reader) lineOf(offset int) int {
	return sort.SearchInts(r.starts, offset+1)
}

// next returns the next token with the line that it starts on.
func (r *reader) next(path *path) (json.Token, int) {
	offset := int(r.tokens.InputOffset())
	for offset < len(r.text) && bytes.IndexByte([]byte(" \t\r\n,:"), r.text[offset]) >= 0 {
		offset++
	}
	line := r.lineOf(min(offset, max(len(r.text)-1, 0)))
	t, err := r.tokens.Token()
	var syntax *json.SyntaxError
	switch {
	case err == nil:
		return t, line
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		r.fail(path, r.lineOf(max(len(r.text)-1, 0)), "the text ends before the document does")
	case errors.As(err, &syntax):
		r.fail(path, line, syntax.Error())
	default:
		r.fail(path, line, err.Error())
	}
	return nil, line
}

func (r *reader) fail(path *path, line int, message string) {
	if r.fault == nil {
		r.fault = &api.Fault{Code: api.DocumentSyntax, Path: path.String(), Line: line, Message: message}
	}
}

func (r *reader) value(path *path, depth int) value {
	t, line := r.next(path)
	v := value{token: t, line: line}
	if r.fault == nil && depth > maxDepth {
		r.fail(path, line, fmt.Sprintf("values are nested over %d deep", maxDepth))
	}
	if r.fault != nil {
		return v
	}
	switch t {
	case json.Delim('{'):
		r.object(&v, path, depth)
	case json.Delim('['):
		r.array(&v, path, depth)
	}
	return v
}

func (r *reader) object(v *value, path *path, depth int) {
	for r.fault == nil && r.tokens.More() {
		t, line := r.next(path)
		name, ok := t.(string)
		if !ok {
			return
		}
		inner := r.value(path.field(name), depth+1)
		if r.fault != nil && inner.token == nil {
			return
		}
		v.members = append(v.members, member{name: name, line: line, value: inner})
	}
	r.close(path)
}

func (r *reader) array(v *value, path *path, depth int) {
	for r.fault == nil && r.tokens.More() {
		inner := r.value(path.item(len(v.items)), depth+1)
		if r.fault != nil && inner.token == nil {
			return
		}
		v.items = append(v.items, inner)
	}
	r.close(path)
}

func (r *reader) close(path *path) {
	if r.fault == nil {
		r.next(path)
	}
}

// end checks that nothing follows the document.
func (r *reader) end() {
	offset := int(r.tokens.InputOffset())
	rest := bytes.TrimLeft(r.text[offset:], " \t\r\n")
	if len(rest) > 0 {
		r.fail(nil, r.lineOf(len(r.text)-len(rest)), "text stands after the document")
	}
}

// path is a place in a document, built from its end; nil is the whole.
type path struct {
	up *path
	// name is a field's, or empty for an item of a list at index.
	name  string
	index int
	list  bool
}

func (p *path) field(name string) *path { return &path{up: p, name: name} }

func (p *path) item(i int) *path { return &path{up: p, index: i, list: true} }

// String writes the path as in routes[2].service.
func (p *path) String() string {
	switch {
	case p == nil:
		return ""
	case p.list:
		return fmt.Sprintf("%s[%d]", p.up, p.index)
	case p.up == nil:
		return p.name
	}
	return p.up.String() + "." + p.name
}
