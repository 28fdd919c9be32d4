package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
)

// MaxFaults is the maximum number of faults that one check returns. If there
// are more, one further entry gives their number.
const MaxFaults = 100

// Decode decodes a document strictly. It returns every fault with its path and
// line: syntax errors, unknown and duplicate fields, wrong types and units.
// Package validate checks the contents.
func Decode(text []byte) (*Document, []api.Fault) {
	doc, faults, _ := DecodePartial(text)
	if len(faults) > 0 {
		return nil, TruncateFaults(faults)
	}
	return doc, nil
}

// decodeChecked decodes a document that Decode has accepted before, as all
// stored ones were. It uses only the decoder of the standard library, which
// takes a quarter of the time and gives no positions. ok is false if it fails.
func decodeChecked(text []byte) (doc *Document, ok bool) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	doc = &Document{}
	if len(text) > MaxBytes || d.Decode(doc) != nil {
		return nil, false
	}
	_, err := d.Token()
	return doc, errors.Is(err, io.EOF)
}

// DecodePartial decodes as much of a document as possible and returns it with
// every fault. whole reports whether the text was parsed to its end, so only
// the values at the faults' paths are missing.
func DecodePartial(text []byte) (doc *Document, faults []api.Fault, whole bool) {
	doc = &Document{}
	if len(text) > MaxBytes {
		message := fmt.Sprintf("the document has %d bytes, more than the limit of %d", len(text), MaxBytes)
		return doc, []api.Fault{{Code: api.DocumentTooLarge, Message: message}}, false
	}
	root, syntaxFault := readTree(text)
	var d structDecoder
	if syntaxFault == nil || root.token != nil {
		d.decode(reflect.ValueOf(doc).Elem(), &root, nil)
	}
	if syntaxFault != nil {
		d.faults = append(d.faults, *syntaxFault)
	}
	return doc, d.faults, syntaxFault == nil
}

// TruncateFaults truncates a list of faults to MaxFaults and an entry for the
// rest.
func TruncateFaults(faults []api.Fault) []api.Fault {
	if len(faults) <= MaxFaults {
		return faults
	}
	cut := api.Fault{
		Code:    api.DocumentTooManyFaults,
		Message: fmt.Sprintf("%d more faults are not listed", len(faults)-MaxFaults),
	}
	return append(faults[:MaxFaults:MaxFaults], cut)
}

// SetLines sets the line numbers of faults from their paths in text. A path
// that is not in the text gets the line of the nearest enclosing value.
func SetLines(text []byte, faults []api.Fault) {
	root, _ := readTree(text)
	lines := map[string]int{}
	indexLines(&root, nil, lines)
	for i := range faults {
		if faults[i].Line == 0 && faults[i].Path != "" {
			faults[i].Line = nearestLine(lines, faults[i].Path)
		}
	}
}

func indexLines(v *value, path *path, lines map[string]int) {
	lines[path.String()] = v.line
	for i := range v.members {
		m := &v.members[i]
		indexLines(&m.value, path.field(m.name), lines)
	}
	for i := range v.items {
		indexLines(&v.items[i], path.item(i), lines)
	}
}

func nearestLine(lines map[string]int, path string) int {
	for {
		if line, ok := lines[path]; ok {
			return line
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			return lines[""]
		}
		path = path[:end]
	}
}

// structDecoder sets a Go value from a tree. It collects faults and continues.
type structDecoder struct {
	faults []api.Fault
}

func (d *structDecoder) addFault(c api.Code, path *path, line int, format string, args ...any) {
	d.faults = append(d.faults, api.Fault{Code: c, Path: path.String(), Line: line, Message: fmt.Sprintf(format, args...)})
}

func (d *structDecoder) wrongType(v *value, path *path, want string) {
	d.addFault(api.DocumentWrongType, path, v.line, "must be %s, not %s", want, kindOf(v))
}

// kindOf returns a description of the JSON type of a value.
func kindOf(v *value) string {
	switch v.token.(type) {
	case json.Delim:
		if v.isObject() {
			return "an object"
		}
		return "a list"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	default:
		return "null"
	}
}

func (d *structDecoder) decode(dst reflect.Value, v *value, path *path) {
	switch p := dst.Addr().Interface().(type) {
	case *time.Time:
		d.decodeTime(p, v, path)
		return
	case json.Unmarshaler:
		d.decodeUnit(p, v, path)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.decodeObject(dst, v, path)
	case reflect.Slice:
		d.decodeList(dst, v, path)
	case reflect.String:
		d.decodeString(dst, v, path)
	case reflect.Bool:
		d.decodeBool(dst, v, path)
	case reflect.Int:
		d.decodeInt(dst, v, path)
	case reflect.Float64:
		d.decodeFloat(dst, v, path)
	}
}

func (d *structDecoder) decodeTime(dst *time.Time, v *value, path *path) {
	s, ok := v.token.(string)
	if !ok {
		d.addFault(api.DocumentBadUnit, path, v.line, `must be a time with a time zone, as in "2030-01-31T08:00:00Z", not %s`, kindOf(v))
		return
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		d.addFault(api.DocumentBadUnit, path, v.line, `%q is not a time with a time zone, as in "2030-01-31T08:00:00Z"`, s)
		return
	}
	*dst = t
}

// decodeUnit decodes a duration or size, which check their own format.
func (d *structDecoder) decodeUnit(dst json.Unmarshaler, v *value, path *path) {
	if _, ok := v.token.(json.Delim); ok {
		d.wrongType(v, path, "a string with a unit")
		return
	}
	raw, err := json.Marshal(v.token)
	if err == nil {
		err = dst.UnmarshalJSON(raw)
	}
	if err != nil {
		d.addFault(api.DocumentBadUnit, path, v.line, "%s", err)
	}
}

func (d *structDecoder) decodeObject(dst reflect.Value, v *value, path *path) {
	if !v.isObject() {
		d.wrongType(v, path, "an object")
		return
	}
	fields := fieldsOf(dst.Type())
	seen := make(map[string]int, len(v.members))
	for i := range v.members {
		m := &v.members[i]
		fieldPath := path.field(m.name)
		if first, ok := seen[m.name]; ok {
			d.addFault(api.DocumentDuplicate, fieldPath, m.line, "duplicate field, first on line %d", first)
			continue
		}
		seen[m.name] = m.line
		field, ok := fields[m.name]
		if !ok {
			d.addFault(api.DocumentUnknownField, fieldPath, m.line, "unknown field")
			continue
		}
		d.decode(dst.Field(field), &m.value, fieldPath)
	}
}

// fieldCache caches the results of fieldsOf.
var fieldCache sync.Map

// fieldsOf maps the JSON names of a struct's fields to their indices.
func fieldsOf(t reflect.Type) map[string]int {
	if known, ok := fieldCache.Load(t); ok {
		return known.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	fieldCache.Store(t, fields)
	return fields
}

func (d *structDecoder) decodeList(dst reflect.Value, v *value, path *path) {
	if !v.isArray() {
		d.wrongType(v, path, "a list")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(v.items), len(v.items)))
	for i := range v.items {
		d.decode(dst.Index(i), &v.items[i], path.item(i))
	}
}

func (d *structDecoder) decodeString(dst reflect.Value, v *value, path *path) {
	s, ok := v.token.(string)
	if !ok {
		d.wrongType(v, path, "a string")
		return
	}
	dst.SetString(s)
}

func (d *structDecoder) decodeBool(dst reflect.Value, v *value, path *path) {
	b, ok := v.token.(bool)
	if !ok {
		d.wrongType(v, path, "true or false")
		return
	}
	dst.SetBool(b)
}

func (d *structDecoder) decodeInt(dst reflect.Value, v *value, path *path) {
	n, ok := v.token.(json.Number)
	if !ok {
		d.wrongType(v, path, "a whole number")
		return
	}
	i, err := strconv.ParseInt(n.String(), 10, 0)
	switch {
	case errors.Is(err, strconv.ErrRange):
		d.addFault(api.DocumentOutOfRange, path, v.line, "%s is too large", n)
	case err != nil:
		d.addFault(api.DocumentWrongType, path, v.line, "must be a whole number, not %s", n)
	default:
		dst.SetInt(i)
	}
}

func (d *structDecoder) decodeFloat(dst reflect.Value, v *value, path *path) {
	n, ok := v.token.(json.Number)
	if !ok {
		d.wrongType(v, path, "a number")
		return
	}
	x, err := n.Float64()
	if err != nil {
		d.addFault(api.DocumentOutOfRange, path, v.line, "%s is too large", n)
		return
	}
	dst.SetFloat(x)
}
