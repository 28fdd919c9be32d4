package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
)

// FuzzDecode checks that any text is either refused with a position or decoded
// to a document that survives a round trip.
func FuzzDecode(f *testing.F) {
	for _, pattern := range []string{"../validate/testdata/wrong/*.json", "../../../docs/examples/*.json"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			f.Fatalf("%s: %v", pattern, err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, faults := Decode(text)
		if len(faults) > 0 {
			if doc != nil || faults[0].Code == 0 || faults[0].Message == "" || (faults[0].Line == 0 && len(text) <= MaxBytes) {
				t.Fatalf("%v %+v", doc, faults[0])
			}
			return
		}
		written, err := json.Marshal(doc)
		if err != nil {
			t.Skip("RFC 3339 cannot represent the year")
		}
		again, faults := Decode(written)
		if len(faults) > 0 {
			t.Fatalf("%s: %v", written, faults)
		}
		if rewritten, err := json.Marshal(again); err != nil || !bytes.Equal(rewritten, written) {
			t.Fatalf("%v\n%s\n%s", err, written, rewritten)
		}
	})
}

// TestStrictDecoderAgreesWithStandardDecoder compares Decode with encoding/json
// on a valid document.
func TestStrictDecoderAgreesWithStandardDecoder(t *testing.T) {
	text := largeDocument(t, 20)
	doc, faults := Decode(text)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	var want Document
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&want); err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := json.Marshal(want); err != nil || !bytes.Equal(got, again) {
		t.Errorf("%v\n%s\n%s", err, got, again)
	}
}

// largeDocument returns a document of 36 services, each with a rollout and
// perService routes.
func largeDocument(tb testing.TB, perService int) []byte {
	tb.Helper()
	var doc Document
	for i := range 36 {
		name := fmt.Sprintf("service-%d", i)
		doc.Services = append(doc.Services, Service{Name: name, Versions: []string{"v1", "v2"}, Current: "v1", Limits: Limits{Slots: 10, RetryShare: 2.5}})
		doc.Rollouts = append(doc.Rollouts, Rollout{
			Service: name, From: "v1", To: "v2", Start: time.Unix(1_900_000_000, 0).UTC(), Deadline: time.Unix(1_900_003_600, 0).UTC(),
			FirstShare: 1, Steps: []float64{5, 25, 100}, Caution: CautionHigh,
		})
		for j := range perService {
			doc.Routes = append(doc.Routes, Route{
				Name: fmt.Sprintf("route-%d-%d", i, j), Match: Match{Prefix: fmt.Sprintf("/%d/%d", i, j), Method: "GET"},
				Service: name, Idempotent: j%2 == 0, TimeLimit: Duration(2 * time.Second), Caller: Buyer, BodyLimit: 64_000,
			})
		}
	}
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// BenchmarkDecode decodes documents of 36 services. It compares Decode with the
// standard library's strict decoder, which nodes use for accepted
// configurations. That decoder returns a single fault without its position.
func BenchmarkDecode(b *testing.B) {
	for _, perService := range []int{4, 60} {
		text := largeDocument(b, perService)
		b.Run(fmt.Sprintf("every-fault/%dKB", len(text)/1000), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, faults := Decode(text); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
		b.Run(fmt.Sprintf("checked/%dKB", len(text)/1000), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, ok := decodeChecked(text); !ok {
					b.Fatal("refused")
				}
			}
		})
	}
}

func TestDecodeEnvelopeReportsFaultsOfDocument(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field": `{"services":[{"zone":1}]}`,
		"wrong unit":    `{"routes":[{"time_limit":"2"}]}`,
	} {
		a := AcceptedConfig{Number: 3, Document: []byte(text)}
		envelope, err := a.Encode()
		if err != nil {
			t.Fatal(err)
		}
		_, _, err = DecodeEnvelope(envelope)
		var refused *api.Error
		if !errors.As(err, &refused) || refused.Code != api.StoreCorrupt || len(refused.Faults) != 1 {
			t.Errorf("%s: %v", name, err)
		}
	}
}
