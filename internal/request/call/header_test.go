package call

import (
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

var now = time.Unix(1000, 0)

func sample() *Call {
	return &Call{
		Service: "credit-ledger", Version: "v1.2", Route: "credit", Caller: document.Clerk, Idempotent: true,
		Deadline: now.Add(1500 * time.Millisecond), IdempotencyKey: "k", Attempt: 2, Depth: 27, ConfigNumber: 9, FencingToken: "3-a", Remote: true,
	}
}

func TestCallRoundTripsThroughItsHeader(t *testing.T) {
	h := http.Header{HeaderIdempotencyKey: {"k"}, HeaderCall: {"forged"}}
	sample().EncodeHeader(h, now)
	got, err := DecodeHeader(h, now)
	if err != nil || !reflect.DeepEqual(got, sample()) {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestMalformedCallHeadersAreRejected(t *testing.T) {
	h := http.Header{}
	sample().EncodeHeader(h, now)
	good := h.Get(HeaderCall)
	for _, bad := range []string{"", good + "|", strings.Replace(good, "|9|", "|x|", 1), strings.Replace(good, "|9|", "|-9|", 1)} {
		if _, err := DecodeHeader(http.Header{HeaderCall: {bad}}, now); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func TestTimeLeftShrinksWithEachHopAndSufficesForTheLongestChain(t *testing.T) {
	c := &Call{Deadline: now.Add(2 * time.Second)}
	for depth := 1; depth <= 28; depth++ {
		h := http.Header{}
		before := c.TimeLeft(now)
		c.SetUpstreamHeaders(h, now)
		next, err := DecodeCallerHeaders(h, time.Hour, now)
		if err != nil || next.Depth != depth || next.TimeLeft(now) >= before {
			t.Fatalf("hop %d: %+v, %v left of %v, %v", depth, next, next.TimeLeft(now), before, err)
		}
		c = next
	}
	if left := c.TimeLeft(now); left < 1900*time.Millisecond {
		t.Errorf("%v of 2 s left after 28 hops", left)
	}
}
