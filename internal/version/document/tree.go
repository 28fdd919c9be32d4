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

// maxDepth is the maximum nesting of objects and arrays.
const maxDepth = 16

// value is a JSON value with its line number.
type value struct {
	line    int
	members []member
	items   []value
	// token is the opening delimiter, or the scalar itself.
	token json.Token
}

// member is a field of an object.
type member struct {
	name  string
	line  int
	value value
}

func (v *value) isObject() bool { return v.token == json.Delim('{') }
func (v *value) isArray() bool  { return v.token == json.Delim('[') }

// treeReader parses a text into a tree of values with the tokenizer of
// encoding/json. It stops at the first error, so the tree holds what came
// before it.
type treeReader struct {
	text    []byte
	decoder *json.Decoder
	// lineStarts holds the offsets at which lines start.
	lineStarts []int
	fault      *api.Fault
}

func newTreeReader(text []byte) *treeReader {
	r := &treeReader{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), lineStarts: []int{0}}
	r.decoder.UseNumber()
	for i, b := range text {
		if b == '\n' {
			r.lineStarts = append(r.lineStarts, i+1)
		}
	}
	return r
}

// readTree parses the whole text. The fault is nil if the text is exactly one
// JSON value.
func readTree(text []byte) (value, *api.Fault) {
	r := newTreeReader(text)
	if at := invalidUTF8(text); at >= 0 {
		r.setFault(nil, r.lineOf(at), "the document is not valid UTF-8")
		return value{}, r.fault
	}
	root := r.value(nil, 0)
	if r.fault == nil {
		r.checkEnd()
	}
	return root, r.fault
}

// invalidUTF8 returns the offset of the first invalid byte, or -1.
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

// next returns the next token and the line that it starts on.
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
		r.setFault(path, r.lineOf(max(len(r.text)-1, 0)), "unexpected end of the document")
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
		r.setFault(path, line, fmt.Sprintf("values are nested more than %d levels deep", maxDepth))
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

// close reads the closing delimiter of an object or array.
func (r *treeReader) close(path *path) {
	if r.fault == nil {
		r.next(path)
	}
}

// checkEnd checks that no text follows the document.
func (r *treeReader) checkEnd() {
	offset := int(r.decoder.InputOffset())
	rest := bytes.TrimLeft(r.text[offset:], " \t\r\n")
	if len(rest) > 0 {
		r.setFault(nil, r.lineOf(len(r.text)-len(rest)), "unexpected text after the document")
	}
}

// path locates a value in a document, linked from the value to the root; nil is
// the root.
type path struct {
	parent *path
	// name is the field's name; empty for the list item at index.
	name   string
	index  int
	isItem bool
}

func (p *path) field(name string) *path { return &path{parent: p, name: name} }

func (p *path) item(i int) *path { return &path{parent: p, index: i, isItem: true} }

// String formats the path as in routes[2].service.
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
