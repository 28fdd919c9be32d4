package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/linkqueue"
)

const linkRate = 1_250_000 // 10 Mbit/s

// newLinkHarness returns an entry whose link has 3 s of transfers in both
// directions. Requests must end within 200 ms.
func newLinkHarness(t *testing.T, others int) *harness {
	t.Helper()
	r := newHarness(t, others, answered(200), answered(200))
	r.ingress.Link = linkqueue.NewLink(linkRate)
	for _, d := range []*linkqueue.Direction{r.ingress.Link.In, r.ingress.Link.Out} {
		x := &linkqueue.Transfer{Size: 3 * linkRate, Objective: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)}
		if _, err := d.Acquire(context.Background(), time.Now(), x); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

func (r *harness) post(bytes int) *h1.Response {
	return r.ingress.Serve(context.Background(), &h1.Request{
		Method: "POST", Target: "/read/1", Host: "a", Header: http.Header{"Id": {"7"}}, Body: make([]byte, bytes), ReceivedAt: time.Now(),
	})
}

// What cannot cross the entry's link in time is refused before it is sent to another
// host; small messages pass, and the host's own upstream is reached without the link.
func TestEntryRefusesWhatItsLinkCannotCarryInTime(t *testing.T) {
	for _, tc := range []struct {
		name     string
		body     int
		response int
		own      bool
		status   int
	}{
		{"large body", 20_000, 0, false, http.StatusServiceUnavailable},
		{"large response", 0, 20_000, false, http.StatusServiceUnavailable},
		{"small ones", 2_000, 2_000, false, http.StatusOK},
		{"to the own upstream", 20_000, 20_000, true, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			others := 1
			if tc.own {
				others = 0
			}
			r := newLinkHarness(t, others)
			if !tc.own {
				self, _ := r.ingress.Members.Get("self")
				self.Service, self.Sequence = "", self.Sequence+1
				r.ingress.Members.Merge(self)
			}
			r.ingress.responseSizes.Observe("read", tc.response)
			resp := r.post(tc.body)
			if resp.Status != tc.status {
				t.Errorf("status %d, want %d", resp.Status, tc.status)
			}
			if tc.status != http.StatusOK && (r.sent != 0 || r.ingress.Link.In.Refused(linkqueue.Full)+r.ingress.Link.Out.Refused(linkqueue.Full) == 0) {
				t.Errorf("%d attempts, or not refused at once", r.sent)
			}
			if n := r.ingress.Link.Out.PendingBytes(); n != 3*linkRate {
				t.Errorf("%d bytes pending after the request", n)
			}
		})
	}
}

// A body that gets no turn on the entry's link was not sent, which says nothing about
// the node that asked for it.
func TestBodyWithoutATurnDoesNotEjectTheNode(t *testing.T) {
	d := &dispatch{ingress: newHarness(t, 0).ingress, in: &h1.Request{Body: make([]byte, 20_000)}}
	res := d.resultOfError(d.ingress.Members.Index().Members[0], &h1.Error{Failure: h1.ExchangeFailed, Sent: true, Err: errNoRoomToSend})
	if res.Ran != api.RanNo || res.Code != api.CallNoTime {
		t.Errorf("%+v", res)
	}
}
