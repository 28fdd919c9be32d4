package egress

import (
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Guards against calls of running upstreams that wait behind the public because
// their runs are not much shorter than the others.
func TestNestedCallGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &Queue{Slots: 1}
	request := func(nested bool, priority int) RequestInfo {
		return RequestInfo{Route: "r", Nested: nested, Priority: priority, Deadline: now.Add(2 * time.Second), Objective: now.Add(time.Second)}
	}
	if _, decision := q.Arrive(now, request(false, 0)); decision.Code != api.OK {
		t.Fatalf("an idle slot: %v", decision)
	}
	public, _ := q.Arrive(now, request(false, 0))
	nested, _ := q.Arrive(now, request(true, 5))
	if public == nil || nested == nil {
		t.Fatal("a request with time left does not wait")
	}
	q.Complete(now.Add(50*time.Millisecond), "r", 50*time.Millisecond, true)
	select {
	case <-nested.Decision:
	default:
		t.Error("the nested call still waits")
	}
	select {
	case <-public.Decision:
		t.Error("the public request was admitted before the nested call")
	default:
	}
}
