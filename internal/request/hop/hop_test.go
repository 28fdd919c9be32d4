package hop

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

var now = time.Unix(1000, 0)

func sample() *Request {
	return &Request{
		Service: "s", Version: "v1.2", Route: "r", Kind: traffic.Once, Priority: 2, CallerService: "f", ConfigNumber: 9, Returned: true,
		Deadline: now.Add(1500 * time.Millisecond), Objective: now.Add(-20 * time.Millisecond),
	}
}

func TestRequestRoundTripsThroughItsHeader(t *testing.T) {
	h := http.Header{call.HeaderCall: {"forged"}}
	sample().EncodeHeader(h, now)
	got, err := DecodeHeader(h, now)
	if err != nil || !reflect.DeepEqual(got, sample()) {
		t.Errorf("%+v, %v", got, err)
	}
	if len(h) != 0 {
		t.Errorf("the header was not removed: %v", h)
	}
}

// Guards against the calls of urgent runs that queue behind others because the next node
// does not learn whose calls they are, and against nodes of an earlier version.
func TestUrgencyOfACallerRoundTrips(t *testing.T) {
	for header, want := range map[string]int{"": 3, "1": 0, "x": 0, "-7": 0} {
		r := sample()
		r.Nested, r.CallerUrgency = true, 3
		h := http.Header{}
		r.EncodeHeader(h, now)
		if header != "" {
			h[headerNested] = []string{header}
		}
		if got, err := DecodeHeader(h, now); err != nil || !got.Nested || got.CallerUrgency != want {
			t.Errorf("%q: %+v, %v", header, got, err)
		}
	}
}

func FuzzDecodeHeader(f *testing.F) {
	h := http.Header{}
	sample().EncodeHeader(h, now)
	f.Add(h.Get(call.HeaderCall))
	f.Add("a|b|c")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := DecodeHeader(http.Header{call.HeaderCall: {text}}, now)
		if (r == nil) == (err == nil) {
			t.Errorf("%v, %v", r, err)
		}
	})
}
