// Package linkqueue shares a host's link among large transfers: request bodies
// and responses that take the link longer than a few milliseconds. Small messages
// pass beside them. Queue decides and has neither locks nor clocks; Link is the
// object that the entry and the gate of a process share.
package linkqueue

import (
	"sort"
	"time"
)

const (
	// largeTime is the transfer time above which a transfer is large. A small
	// message waits for one such transfer at most, and calls have objectives of
	// some 100 ms.
	largeTime = 4 * time.Millisecond
	// lookAhead is how long before the expected end of a transfer the next one
	// starts: the time in which a sender in the same data centre receives the
	// permission and answers, during which the link would stand idle.
	lookAhead = 5 * time.Millisecond
	// responseFraction of the time left before a response must start to cross is the
	// longest backlog with which its request may run. Its size is not known before, and
	// the largest go last: with 1, some 2 to 4% of the downloads of docs/design/links.md
	// ran in vain.
	responseFraction = 0.4
	// maxUnfinished is how long the link would need for the transfers that have
	// started and not ended. It is reached only if they take longer than the link's
	// rate explains, for example because their senders' links are busy.
	maxUnfinished = 250 * time.Millisecond
	// stallFactor times its share of the link plus stallSlack is how long a started
	// transfer counts in maxUnfinished: a peer that stops reading or writing must not
	// keep the link from others.
	stallFactor = 2
	stallSlack  = 100 * time.Millisecond
	// overdueSlack is how long after its expected end a transfer counts as overdue.
	// Half of it is then taken to be still on its way: the link carries more than this
	// process sees, or the sender is slow.
	overdueSlack = 20 * time.Millisecond
	// minRetryAfter is the shortest retry delay given with a refusal.
	minRetryAfter = 20 * time.Millisecond
)

// Transfer is one large transfer.
type Transfer struct {
	// Size is in bytes.
	Size int64
	// Objective and Deadline are when the transfer must have ended for the request to
	// meet its objective, and for it to be answered at all.
	Objective, Deadline time.Time
	// Promised is set for a request that came back after the delay that a refusal
	// told. It is accepted if it can be answered by its deadline, and not refused
	// afterwards.
	Promised bool
	// Estimated is set if Size is a mean, as that of a response before its run.
	Estimated bool

	// late is set if the transfer was accepted against its deadline. A body then goes
	// behind those that can meet their objectives.
	late bool
	// kept is set if the transfer cannot be refused any more, as the response of a
	// request that ran.
	kept bool
	// endsAt is when the link should have carried the transfer, and stalledAt when it
	// no longer counts as unfinished.
	endsAt, stalledAt time.Time
	state             state
	// decided receives true when the transfer may start, or false when it is refused
	// in favour of others.
	decided chan bool
	// retryAfter is the retry delay of a transfer that was refused while it waited, and
	// cause the cause.
	retryAfter time.Duration
	cause      Cause
}

type state uint8

const (
	idle state = iota
	// reserved: the transfer is expected, for example the response of a running
	// request.
	reserved
	waiting
	started
)

// Decision is the answer to a transfer. RetryAfter is when the link has room for a
// refused one.
type Decision struct {
	OK         bool
	RetryAfter time.Duration
}

// Queue decides which transfers cross one direction of a link, and in which order:
// the smallest first, since that serves the most callers in time, those that cannot
// meet their objectives last, and one that would miss its deadline by waiting for
// the next in order before that one. docs/design/links.md compares the rules.
type Queue struct {
	// Rate is in bytes per second.
	Rate float64
	// Arrives is set if the end of a transfer means that its bytes have crossed, as
	// when they are read. A write ends when the system has taken the bytes.
	Arrives bool
	// DisplacePromised lets requests that can meet their objectives take the place of
	// promised ones. It answers more requests in time and breaks promises; only the
	// driver sets it, to show what the promise costs.
	DisplacePromised bool

	// free is when the link will have carried what was started.
	free                        time.Time
	reserved, waiting, inFlight []*Transfer
}

// Time is how long the link takes to carry a number of bytes.
func (q *Queue) Time(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / q.Rate * float64(time.Second))
}

// Large reports whether transfers of a size have to be queued.
func (q *Queue) Large(bytes int64) bool { return q.Time(bytes) > largeTime }

// Backlog is how long the link needs for all transfers started, waiting and
// expected.
func (q *Queue) Backlog(now time.Time) time.Duration {
	return q.inProgress(now) + q.Time(sum(q.waiting)+sum(q.reserved))
}

// inProgress is how long the link needs for the transfers started.
func (q *Queue) inProgress(now time.Time) time.Duration {
	overdue := int64(0)
	for _, t := range q.inFlight {
		if now.Sub(t.endsAt) > overdueSlack {
			overdue += t.Size
		}
	}
	return max(0, q.free.Sub(now)) + q.Time(overdue)/2
}

// PendingBytes is the number of bytes of the transfers that wait or are in progress.
func (q *Queue) PendingBytes() int64 { return sum(q.waiting) + sum(q.inFlight) }

func sum(transfers []*Transfer) int64 {
	total := int64(0)
	for _, t := range transfers {
		total += t.Size
	}
	return total
}

// Pass counts a small message that crosses without waiting.
func (q *Queue) Pass(now time.Time, bytes int64) { q.occupy(now, bytes) }

func (q *Queue) occupy(now time.Time, bytes int64) {
	if q.free.Before(now) {
		q.free = now
	}
	q.free = q.free.Add(q.Time(bytes))
}

// Reserve decides on a transfer that will be ready after lead. If it is accepted, it
// counts until Ready or Remove.
func (q *Queue) Reserve(now time.Time, t *Transfer, lead time.Duration) Decision {
	decision, _ := q.decide(now, t, lead, false)
	if decision.OK {
		t.state = reserved
		q.reserved = append(q.reserved, t)
	}
	return decision
}

// Ready lets a transfer wait that cannot be refused any more, whether it was reserved
// or not. size is its actual size.
func (q *Queue) Ready(t *Transfer, size int64) {
	q.Remove(t)
	t.Size, t.kept = size, true
	q.enqueue(t)
}

// Add decides on a transfer that is ready. If it is accepted, it waits. Waiting
// transfers that can no longer be in time because of it are refused.
func (q *Queue) Add(now time.Time, t *Transfer) Decision {
	decision, displaced := q.decide(now, t, 0, true)
	if !decision.OK {
		return decision
	}
	for _, w := range displaced {
		q.refuse(now, w, Displaced)
	}
	q.enqueue(t)
	return decision
}

// refuse refuses a transfer that waits.
func (q *Queue) refuse(now time.Time, t *Transfer, cause Cause) {
	q.Remove(t)
	t.cause = cause
	t.retryAfter = q.retryAfter(now, t, q.Backlog(now))
	t.decided <- false
}

func (q *Queue) enqueue(t *Transfer) {
	t.state = waiting
	t.decided = make(chan bool, 1)
	q.waiting = append(q.waiting, t)
}

// decide accepts a transfer for its objective or, if it was promised or could not
// meet that on an idle link either, for its deadline.
func (q *Queue) decide(now time.Time, t *Transfer, lead time.Duration, displaces bool) (Decision, []*Transfer) {
	t.late = false
	ahead, displaced, ok := q.place(now, t, lead, displaces)
	if !ok && (t.Promised || now.Add(lead+q.Time(t.Size)).After(t.Objective)) {
		t.late = true
		ahead, displaced, ok = q.place(now, t, lead, displaces)
	}
	if !ok {
		return Decision{RetryAfter: q.retryAfter(now, t, ahead)}, nil
	}
	return Decision{OK: true}, displaced
}

// retryAfter is when the transfers ahead of a refused one have crossed, but early
// enough for it to cross before its deadline.
func (q *Queue) retryAfter(now time.Time, t *Transfer, ahead time.Duration) time.Duration {
	return max(minRetryAfter, min(ahead, t.Deadline.Sub(now)-q.Time(t.Size)))
}

// place plays the order of the transfers with t among them. ok is false if t would
// be too late, or would make one too late that cannot be refused. ahead is the time
// until t would start.
func (q *Queue) place(now time.Time, t *Transfer, lead time.Duration, displaces bool) (ahead time.Duration, displaced []*Transfer, ok bool) {
	order := make([]*Transfer, 0, len(q.waiting)+len(q.reserved))
	order = append(append(order, q.waiting...), q.reserved...)
	sort.SliceStable(order, func(i, j int) bool { return order[i].before(order[j]) })
	ahead = max(lead, q.inProgress(now))
	first := sort.Search(len(order), func(i int) bool { return t.before(order[i]) })
	for _, w := range order[:first] {
		ahead += q.Time(w.Size)
	}
	without := now.Add(ahead)
	with := without.Add(q.Time(t.Size))
	if !displaces {
		backlog := q.Backlog(now)
		if backlog <= 0 {
			// Without any run of the route its mean size would never change.
			return ahead, nil, true
		}
		// A response may turn out to be one that goes after all others.
		all := max(lead, time.Duration(float64(backlog)/responseFraction))
		if t.Estimated && now.Add(all+q.Time(t.Size)).After(t.limit()) {
			return max(lead, backlog), nil, false
		}
	}
	if with.After(t.limit()) {
		return ahead, nil, false
	}
	for _, w := range order[first:] {
		without, with = without.Add(q.Time(w.Size)), with.Add(q.Time(w.Size))
		limit, refusable := w.limit(), displaces && w.state == waiting && !w.kept
		if w.Promised || !refusable {
			limit = w.Deadline
		}
		switch {
		case !with.After(limit):
		case refusable && (!w.Promised || q.DisplacePromised || without.After(w.Deadline)):
			displaced = append(displaced, w)
			with = with.Add(-q.Time(w.Size))
		case !without.After(w.Deadline):
			return ahead, nil, false
		}
	}
	return ahead, displaced, true
}

// limit is when the transfer must have ended, as it was accepted.
func (t *Transfer) limit() time.Time {
	if t.late {
		return t.Deadline
	}
	return t.Objective
}

// before reports whether t goes before o.
func (t *Transfer) before(o *Transfer) bool {
	if t.late != o.late && !t.Estimated && !o.Estimated {
		return !t.late
	}
	return t.Size < o.Size
}

// Start starts the transfers whose turn it is. The next call must come at the
// returned time, unless it is zero.
func (q *Queue) Start(now time.Time) (next time.Time) {
	for {
		q.expire(now)
		q.refuseHopeless(now)
		if len(q.waiting) == 0 {
			return time.Time{}
		}
		if q.free.Sub(now) > lookAhead {
			return q.free.Add(-lookAhead)
		}
		t := q.next(now)
		if len(q.inFlight) > 0 && q.Time(sum(q.inFlight)+t.Size) > maxUnfinished {
			return q.firstStall()
		}
		q.Remove(t)
		q.start(now, t)
		t.decided <- true
	}
}

func (q *Queue) start(now time.Time, t *Transfer) {
	q.occupy(now, t.Size)
	t.state, t.endsAt = started, q.free
	t.stalledAt = now.Add(stallFactor*q.Time(sum(q.inFlight)+t.Size) + stallSlack)
	q.inFlight = append(q.inFlight, t)
}

// next is the first transfer in order, or one that would miss its deadline if that
// one went first.
func (q *Queue) next(now time.Time) *Transfer {
	first := q.waiting[0]
	for _, t := range q.waiting[1:] {
		if t.before(first) {
			first = t
		}
	}
	begin := now.Add(max(0, q.free.Sub(now)))
	end := begin.Add(q.Time(first.Size))
	urgent := first
	for _, t := range q.waiting {
		length := q.Time(t.Size)
		if t == first || begin.Add(length).After(t.Deadline) || !end.Add(length).After(t.Deadline) {
			continue
		}
		if urgent == first || t.Deadline.Before(urgent.Deadline) {
			urgent = t
		}
	}
	return urgent
}

// refuseHopeless refuses the waiting transfers that cannot end by their deadlines. One
// that cannot be refused waits until the deadline itself, since the link may be faster than its
// rate says.
func (q *Queue) refuseHopeless(now time.Time) {
	for i := 0; i < len(q.waiting); {
		t := q.waiting[i]
		end := now
		if !t.kept {
			end = now.Add(q.Time(t.Size))
		}
		if end.After(t.Deadline) {
			q.refuse(now, t, Expired)
		} else {
			i++
		}
	}
}

// expire stops counting transfers that take far longer than the link explains.
func (q *Queue) expire(now time.Time) {
	for i := 0; i < len(q.inFlight); {
		if t := q.inFlight[i]; now.Before(t.stalledAt) {
			i++
		} else {
			q.Remove(t)
		}
	}
}

func (q *Queue) firstStall() time.Time {
	first := q.inFlight[0].stalledAt
	for _, t := range q.inFlight {
		if t.stalledAt.Before(first) {
			first = t.stalledAt
		}
	}
	return first
}

// Remove ends a transfer, whatever its state; ending it twice is harmless.
func (q *Queue) Remove(t *Transfer) {
	switch t.state {
	case reserved:
		remove(&q.reserved, t)
	case waiting:
		remove(&q.waiting, t)
	case started:
		remove(&q.inFlight, t)
	}
	t.state = idle
}

// End ends a transfer that has started.
func (q *Queue) End(now time.Time, t *Transfer) {
	q.Remove(t)
	if left := now.Add(q.Time(sum(q.inFlight))); q.Arrives && left.Before(q.free) {
		q.free = left
	}
}

func remove(list *[]*Transfer, t *Transfer) {
	for i, other := range *list {
		if other == t {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return
		}
	}
}
