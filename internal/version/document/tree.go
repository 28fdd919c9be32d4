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
type treeReader struct {
	text    []byte
	decoder *json.Decoder
	// starts are the offsets at which lines start.
	lineStarts []int
	fault      *api.Fault
}

func newReader(text []byte) *treeReader {
	r := &treeReader{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), lineStarts: []int{0}}
	r.decoder.UseNumber()
	for i, b := range text {
		if b == '\n' {
			r.lineStarts = append(r.lineStarts, i+1)
		}
	}
	return r
}

// readTree reads the whole text. The fault is nil when the text is one JSON
// value and nothing else.
func readTree(text []byte) (value, *api.Fault) {
	r := newReader(text)
	if at := invalidUTF8(text); at >= 0 {
		r.setFault(nil, r.lineOf(at), "the text is not UTF-8")
		return value{}, r.fault
	}
	root := r.value(nil, 0)
	if r.fault == nil {
		r.checkEnd()
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

func (r *treeReader) lineOf(offset int) int {
	return sort.SearchInts(r.lineStarts, offset+1)
}

// next returns the next token with the line that it starts on.
func (r *treeReader) next(path *path) (json.Token, int) {
	offset := int(r.decoder.InputOffset())
	for offset < len(r.text) && bytes.IndexByte([]byte(" \t\r\n,:"), r.text[offset]) >= 0 {
		offset++
	}
	line := r.lineOf(min(offset, max(len(r.text)-1, 0)))
	t, err := r.decoder.Token()
	var syntax *json.SyntaxError
	switch {
	case err == nil:
		return t, line
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		r.setFault(path, r.lineOf(max(len(r.text)-1, 0)), "the text ends before the document does")
	case errors.As(err, &syntax):
		r.setFault(path, line, syntax.Error())
	default:
		r.setFault(path, line, err.Error())
	}
	return nil, line
}

func (r *treeReader) setFault(path *path, line int, message string) {
	if r.fault == nil {
		r.fault = &api.Fault{Code: api.DocumentSyntax, Path: path.String(), Line: line, Message: message}
	}
}

func (r *treeReader) value(path *path, depth int) value {
	t, line := r.next(path)
	v := value{token: t, line: line}
	if r.fault == nil && depth > maxDepth {
		r.setFault(path, line, fmt.Sprintf("values are nested over %d deep", maxDepth))
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

func (r *treeReader) object(v *value, path *path, depth int) {
	for r.fault == nil && r.decoder.More() {
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

func (r *treeReader) array(v *value, path *path, depth int) {
	for r.fault == nil && r.decoder.More() {
		inner := r.value(path.item(len(v.items)), depth+1)
		if r.fault != nil && inner.token == nil {
			return
		}
		v.items = append(v.items, inner)
	}
	r.close(path)
}

func (r *treeReader) close(path *path) {
	if r.fault == nil {
		r.next(path)
	}
}

// end checks that nothing follows the document.
func (r *treeReader) checkEnd() {
	offset := int(r.decoder.InputOffset())
	rest := bytes.TrimLeft(r.text[offset:], " \t\r\n")
	if len(rest) > 0 {
		r.setFault(nil, r.lineOf(len(r.text)-len(rest)), "text stands after the document")
	}
}

// path is a place in a document, built from its end; nil is the whole.
type path struct {
	parent *path
	// name is a field's, or empty for an item of a list at index.
	name   string
	index  int
	isItem bool
}

func (p *path) field(name string) *path { return &path{parent: p, name: name} }

func (p *path) item(i int) *path { return &path{parent: p, index: i, isItem: true} }

// String writes the path as in routes[2].service.
func (p *path) String() string {
	switch {
	case p == nil:
		return ""
	case p.isItem:
		return fmt.Sprintf("%s[%d]", p.parent, p.index)
	case p.parent == nil:
		return p.name
	}
	return p.parent.String() + "." + p.name
}
