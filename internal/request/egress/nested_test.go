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

// Guards against the calls of runs that cannot be repeated waiting behind those of less
// urgent runs: they failed with their calls after they had run.
func TestNestedCallsAreRankedByTheirCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &Queue{Slots: 1}
	call := func(urgency int) *Ticket {
		ticket, _ := q.Arrive(now, RequestInfo{Route: "r", Nested: true, CallerUrgency: urgency, Deadline: now.Add(2 * time.Second), Objective: now.Add(time.Second)})
		return ticket
	}
	call(MostUrgentCaller)
	repeatable, lessUrgent, once := call(callerUrgency(1, true)), call(callerUrgency(2, false)), call(callerUrgency(1, false))
	for i, next := range []*Ticket{once, repeatable, lessUrgent} {
		q.Complete(now, "r", 10*time.Millisecond, true)
		select {
		case <-next.Decision:
		default:
			t.Fatalf("call %d in order was not admitted", i)
		}
	}
}

// Guards against calls that are ranked by runs which have ended.
func TestMostUrgentRun(t *testing.T) {
	var u runUrgencies
	for _, step := range []struct{ urgency, n, want int }{{5, 1, 5}, {2, 1, 2}, {2, 1, 2}, {2, -1, 2}, {2, -1, 5}, {5, -1, MostUrgentCaller}} {
		if u.add(step.urgency, step.n); u.mostUrgent() != step.want {
			t.Errorf("after %+v: %d", step, u.mostUrgent())
		}
	}
	if len(u.counts) != 0 {
		t.Error("urgencies without runs are kept")
	}
}
