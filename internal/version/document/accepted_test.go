package document

import (
	"testing"
	"time"
)

func TestEnvelopeKeepsPastSessionsUpToLimit(t *testing.T) {
	doc := &Document{}
	var prev *AcceptedConfig
	for i := range 3 * MaxPast {
		prev = NextAccepted(prev, doc, []byte(`{"services":[],"routes":[]}`), doc, string(rune('A'+i)), "o", time.Unix(0, 0))
	}
	if len(prev.Past) != MaxPast {
		t.Fatalf("%d past sessions, want %d", len(prev.Past), MaxPast)
	}
	if n, ok := prev.NumberOf(string(rune('A' + 3*MaxPast - 2))); !ok || n != prev.Number-1 {
		t.Errorf("the previous session: %d, %v", n, ok)
	}
	if _, ok := prev.NumberOf("A"); ok {
		t.Error("the first session is still listed")
	}
}

// FuzzDecodeEnvelope checks that a decoded envelope has a document and survives
// a round trip.
func FuzzDecodeEnvelope(f *testing.F) {
	f.Add([]byte(`{"number":1,"session":"s","operator":"o","at":"2026-01-02T03:04:05Z","document":{"services":[],"routes":[]}}`))
	f.Add([]byte(`{"number":1,"document":{"services":[{"name":"a"}]`))
	f.Add([]byte(`{"number":-1,"moves":[{"service":"a","since":1}],"document":null}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, doc, err := DecodeEnvelope(b)
		if err != nil {
			return
		}
		if doc == nil {
			t.Fatal("DecodeEnvelope returned neither a document nor an error")
		}
		envelope, err := a.Encode()
		if err != nil {
			t.Fatalf("encode the decoded envelope: %v", err)
		}
		if again, _, err := DecodeEnvelope(envelope); err != nil || again.Number != a.Number {
			t.Errorf("decode the envelope again: %v", err)
		}
	})
}
