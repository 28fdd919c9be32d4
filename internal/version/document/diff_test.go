package document

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func mustDecode(t *testing.T, text string) *Document {
	t.Helper()
	doc, faults := Decode([]byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return doc
}

func TestDiffListsAddedRemovedAndChangedItems(t *testing.T) {
	from := mustDecode(t, `{
		"services": [{"name":"a","versions":["v1"],"current":"v1"}, {"name":"b","versions":["v1"],"current":"v1"}],
		"routes": [{"name":"r","match":{"prefix":"/r"},"service":"a","time_limit":"1s","caller":"buyer"}]}`)
	to := mustDecode(t, `{
		"services": [{"name":"a","versions":["v1","v2"],"current":"v1","limits":{"slots":4}}],
		"routes": [{"name":"r","match":{"prefix":"/r","method":"GET"},"service":"a","time_limit":"1500ms","caller":"buyer"}],
		"rollouts": [{"service":"a","from":"v1","to":"v2","start":"2030-01-31T08:00:00Z","deadline":"2030-01-31T09:00:00Z","first_share":5}]}`)
	want := []string{
		"~ service a: versions [v1] -> [v1 v2]",
		"~ service a: slots default -> 4",
		"- service b",
		"~ route r: match any /r -> GET /r",
		"~ route r: time limit 1s -> 1.5s",
		"+ rollout of a: from v1, to v2, start 2030-01-31T08:00:00Z, deadline 2030-01-31T09:00:00Z, first share 5%, steps [], caution default",
	}
	if got := Diff(from, to); !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
	if got := Diff(to, to); len(got) > 0 {
		t.Errorf("a document differs from itself: %q", got)
	}
	if got := Diff(nil, from); len(got) != 3 || Diff(nil, nil) != nil {
		t.Errorf("diff against an empty document: %q", got)
	}
}

// visitScalars calls visit for each settable scalar in v with its path.
func visitScalars(v reflect.Value, path string, visit func(v reflect.Value, path string)) {
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		visit(v, path)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			visitScalars(v.Field(i), path+"."+v.Type().Field(i).Name, visit)
		}
	case v.Kind() == reflect.Slice:
		if v.Len() == 0 {
			v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		}
		visitScalars(v.Index(0), path, visit)
	default:
		visit(v, path)
	}
}

// changeScalar changes the value of a scalar.
func changeScalar(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 7)
	case reflect.Float64:
		v.SetFloat(v.Float() + 7)
	default:
		v.Set(reflect.ValueOf(v.Interface().(time.Time).Add(time.Second)))
	}
}

func TestDiffCoversEveryField(t *testing.T) {
	var paths []string
	visitScalars(reflect.ValueOf(&Document{}).Elem(), "", func(_ reflect.Value, path string) { paths = append(paths, path) })
	if len(paths) < 20 {
		t.Fatalf("only %d fields: %q", len(paths), paths)
	}
	for _, want := range paths {
		from, to := &Document{}, &Document{}
		visitScalars(reflect.ValueOf(from).Elem(), "", func(reflect.Value, string) {})
		visitScalars(reflect.ValueOf(to).Elem(), "", func(v reflect.Value, path string) {
			if path == want {
				changeScalar(v)
			}
		})
		if len(Diff(from, to)) == 0 {
			t.Errorf("a change of %s is not listed", want)
		}
	}
}
