package linkqueue

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"
)

// The driver plays the load of docs/ROADMAP.md, section 4, on the links of eight
// hosts in virtual time. Times are in seconds and sizes in bytes. A link carries
// what was handed to it in order, as a bottleneck with one buffer does, so that a
// small message waits for all bytes handed over before it.

// load describes one direction of the links and its traffic.
type load struct {
	name                     string
	rate                     float64 // of each link, bytes per second
	meanSize, maxSize        float64
	perSecond, amplitude     float64
	objective, deadline, run float64
	// responses is set if the transfer is a response: its size is known, and it can
	// be handed over in chunks, only after the run.
	responses bool
	// time is how long the load is played, in seconds.
	time float64
}

var (
	uploads   = load{name: "uploads 215/s", rate: 1.25e6, meanSize: 60e3, maxSize: 360e3, perSecond: 215, amplitude: 0.55, objective: 0.6, deadline: 2.5, run: 0.094, time: 90}
	downloads = load{name: "downloads 175/s", rate: 1.625e6, meanSize: 90e3, maxSize: 540e3, perSecond: 175, amplitude: 0, objective: 1, deadline: 1.5, run: 0.03, responses: true, time: 90}
)

const (
	driverHosts = 8
	driverSlots = 6
	wavePeriod  = 15.0
	sizeSpread  = 0.6
	// Small messages per second and host, and their size.
	smallPerSecond, smallSize = 50.0, 2e3
	smallRun                  = 0.022
	smallObjective            = 0.12
	smallDeadline             = 0.25
	// Limits of the entry: hosts tried, and the part of the time left that a caller
	// is told to wait at most.
	driverHostsTried, driverRetryFraction = 3, 0.33
	runMargin                             = 1.5
)

// order compares two transfers.
type order func(a, b *transfer) bool

func byArrival(a, b *transfer) bool  { return a.queued < b.queued }
func bySize(a, b *transfer) bool     { return a.known < b.known }
func byLeft(a, b *transfer) bool     { return a.left < b.left }
func byDeadline(a, b *transfer) bool { return a.due < b.due }

// rule is one way to share a link.
type rule struct {
	name  string
	order order
	// window is the time of the link that may be handed over at once, and chunk the
	// bytes of a transfer that are handed over together; 0 means all of it.
	window, chunk float64
	// admits refuses transfers that would not cross by their objective, displacing
	// ones that are not started if the order puts the new one first. former applies
	// the rule that this package replaced, which bounded bodies by 250 ms of the link
	// and refused those too late; without either all are taken.
	admits, displaces, former bool
	// lateLast puts transfers that were taken against their deadline behind those
	// taken against their objective. guard starts a transfer that would miss its
	// deadline if the next in order were carried first.
	lateLast, guard bool
	// product uses Queue, and whole hands transfers over at once as it starts them,
	// rather than in chunks at the link's rate. breakPromises sets DisplacePromised.
	product, whole, breakPromises bool
	// share hands over chunks of all transfers in turn.
	share bool
}

type transfer struct {
	size, left float64
	// known is the size that the link's queue knows: the mean before a response exists.
	known   float64
	arrived float64
	queued  float64
	// due is when the transfer must have crossed for the objective, or for the
	// deadline if the caller came back.
	due float64
	// lastDue is when it must have crossed for the deadline.
	lastDue  float64
	late     bool
	returned bool
	started  bool
	chosen   map[int]bool
}

type driverHost struct {
	waiting []*transfer
	// inFlight holds the bytes handed to the link, large those of large transfers.
	inFlight, large float64
	wireFree        float64
	// queue and pending are those of a product rule.
	queue   Queue
	pending map[*Transfer]*transfer
	timer   int
	// reserved holds the responses whose run has not ended.
	reserved []*transfer
	busy     int
	runs     []func()
}

type outcome struct {
	offered, inTime, late, refused, failed int
	smalls, smallsInTime                   int
	smallWaits                             []float64
}

func (o *outcome) String() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, o.offered)) }
	sort.Float64s(o.smallWaits)
	quantile := func(q float64) float64 {
		if len(o.smallWaits) == 0 {
			return 0
		}
		return 1000 * o.smallWaits[int(q*float64(len(o.smallWaits)-1))]
	}
	return fmt.Sprintf("%5.1f | %4.1f | %5.1f | %4.1f | %5.1f | %4.0f | %4.0f",
		share(o.inTime), share(o.late), share(o.refused), share(o.failed),
		100*float64(o.smallsInTime)/float64(max(1, o.smalls)), quantile(0.5), quantile(0.99))
}

type event struct {
	at float64
	n  int
	do func()
}
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type driver struct {
	load   load
	rule   rule
	rng    *rand.Rand
	now    float64
	events eventHeap
	n      int
	hosts  [driverHosts]driverHost
	out    outcome
}

func (d *driver) after(delay float64, do func()) {
	d.n++
	heap.Push(&d.events, event{d.now + max(0, delay), d.n, do})
}

func (l load) drawSize(rng *rand.Rand) float64 {
	return min(l.maxSize, l.meanSize*math.Exp(sizeSpread*rng.NormFloat64()-sizeSpread*sizeSpread/2))
}

func (l load) rateAt(t float64) float64 {
	return l.perSecond * (1 + l.amplitude*math.Sin(2*math.Pi*t/wavePeriod))
}

// playLoad plays a load under a rule. Arrivals and sizes are the same for each rule.
func playLoad(l load, r rule) *outcome {
	d := &driver{load: l, rule: r, rng: rand.New(rand.NewPCG(7, 7))}
	for i := range d.hosts {
		d.hosts[i].queue = Queue{Rate: l.rate, Arrives: !l.responses, DisplacePromised: r.breakPromises}
		d.hosts[i].pending = map[*Transfer]*transfer{}
	}
	arrivals := rand.New(rand.NewPCG(1, 2))
	for t := 0.0; t < l.time; {
		t += arrivals.ExpFloat64() / (l.perSecond * (1 + l.amplitude))
		size := l.drawSize(arrivals)
		if arrivals.Float64()*(1+l.amplitude)*l.perSecond > l.rateAt(t) {
			continue
		}
		d.out.offered++
		x := &transfer{size: size, left: size, arrived: t}
		d.after(t, func() { d.arrive(x) })
	}
	for t := 0.0; t < l.time; t += arrivals.ExpFloat64() / (smallPerSecond * driverHosts) {
		h := &d.hosts[arrivals.IntN(driverHosts)]
		d.after(t, func() { d.small(h) })
	}
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.do()
	}
	return &d.out
}

// small hands a small message to the link at once.
func (d *driver) small(h *driverHost) {
	wait := max(0, h.wireFree-d.now)
	d.carry(h, smallSize, 0, func() {})
	h.queue.Pass(instant(d.now), smallSize)
	d.out.smalls++
	d.out.smallWaits = append(d.out.smallWaits, wait)
	if wait+smallRun <= smallObjective {
		d.out.smallsInTime++
	}
}

// carry hands bytes to the link.
func (d *driver) carry(h *driverHost, bytes, large float64, then func()) {
	h.inFlight += bytes
	h.large += large
	h.wireFree = max(h.wireFree, d.now) + bytes/d.load.rate
	d.after(h.wireFree-d.now, func() {
		h.inFlight -= bytes
		h.large -= large
		then()
	})
}

func (d *driver) backlog(h *driverHost) float64 {
	if d.rule.product {
		return h.queue.Backlog(instant(d.now)).Seconds()
	}
	sum := h.inFlight
	for _, w := range h.waiting {
		sum += w.left
	}
	for _, w := range h.reserved {
		sum += w.left
	}
	return sum / d.load.rate
}

// arrive tries up to three hosts, each the better of two by the bytes on its link.
func (d *driver) arrive(x *transfer) {
	x.chosen = map[int]bool{}
	for range driverHostsTried {
		best := -1
		for range 2 {
			i := d.rng.IntN(driverHosts)
			for x.chosen[i] {
				i = (i + 1) % driverHosts
			}
			if best < 0 || d.backlog(&d.hosts[i]) < d.backlog(&d.hosts[best]) {
				best = i
			}
		}
		x.chosen[best] = true
		if d.accept(&d.hosts[best], x) {
			return
		}
	}
	d.refuse(x, d.backlog(&d.hosts[0]))
}

func (d *driver) refuse(x *transfer, wait float64) {
	left := x.arrived + d.load.deadline - d.now
	if x.returned || left <= d.load.run {
		d.out.refused++
		return
	}
	x.returned = true
	d.after(min(max(wait, 0.02), driverRetryFraction*left), func() { d.arrive(x) })
}

// accept decides on a transfer at a host.
func (d *driver) accept(h *driverHost, x *transfer) bool {
	x.queued, x.late = d.now, false
	objective, deadline := x.arrived+d.load.objective, x.arrived+d.load.deadline
	x.due, x.lastDue = objective-runMargin*d.load.run, deadline-0.7*d.load.run
	x.known = x.size
	if d.load.responses {
		x.known = d.load.meanSize
		x.left, x.due, x.lastDue = d.load.meanSize, objective, deadline
	}
	if d.rule.product {
		return d.acceptProduct(h, x)
	}
	switch latest := d.now + 0.25*(x.lastDue-d.now); {
	case d.rule.former:
		if !d.load.responses && d.now+d.backlog(h)+x.size/d.load.rate > max(x.due, latest) {
			return false
		}
	case d.rule.admits:
		if !d.fits(h, x) {
			if !x.returned {
				return false
			}
			x.late, x.due = true, x.lastDue
			if !d.fits(h, x) {
				return false
			}
		}
	}
	if !d.load.responses {
		d.enqueue(h, x)
		return true
	}
	h.reserved = append(h.reserved, x)
	d.slot(h, func() {
		h.reserved = slices.DeleteFunc(h.reserved, func(w *transfer) bool { return w == x })
		x.left, x.known = x.size, x.size
		d.enqueue(h, x)
	})
	return true
}

var driverStart = time.Unix(1e9, 0)

func instant(t float64) time.Time { return driverStart.Add(time.Duration(t * float64(time.Second))) }

func (d *driver) acceptProduct(h *driverHost, x *transfer) bool {
	t := &Transfer{Size: int64(x.size), Objective: instant(x.due), Deadline: instant(x.lastDue), Promised: x.returned}
	if d.load.responses {
		t.Size, t.Estimated = int64(d.load.meanSize), true
		if !h.queue.Reserve(instant(d.now), t, time.Duration(d.load.run*float64(time.Second))).OK {
			return false
		}
		d.slot(h, func() {
			h.queue.Ready(t, int64(x.size))
			h.pending[t] = x
			d.startProduct(h)
		})
		return true
	}
	if !h.queue.Add(instant(d.now), t).OK {
		return false
	}
	h.pending[t] = x
	d.startProduct(h)
	return true
}

// startProduct carries out what the queue of a host decided.
func (d *driver) startProduct(h *driverHost) {
	next := h.queue.Start(instant(d.now))
	var decided []*Transfer
	for t := range h.pending {
		if len(t.decided) > 0 {
			decided = append(decided, t)
		}
	}
	sort.Slice(decided, func(i, j int) bool { return decided[i].Size < decided[j].Size })
	for _, t := range decided {
		x := h.pending[t]
		delete(h.pending, t)
		if !<-t.decided {
			if d.load.responses {
				d.out.failed++
			} else {
				d.refuse(x, t.retryAfter.Seconds())
			}
			continue
		}
		d.carryInChunks(h, x.size, func() {
			h.queue.End(instant(d.now), t)
			d.crossed(h, x)
			d.startProduct(h)
		})
	}
	h.timer++
	if timer := h.timer; !next.IsZero() {
		d.after(next.Sub(instant(d.now)).Seconds()+1e-6, func() {
			if timer == h.timer {
				d.startProduct(h)
			}
		})
	}
}

func (d *driver) carryInChunks(h *driverHost, left float64, then func()) {
	chunk := min(left, 16e3)
	if d.rule.whole {
		chunk = left
	}
	if chunk == left {
		d.carry(h, chunk, chunk, then)
		return
	}
	d.carry(h, chunk, chunk, func() {})
	d.after(chunk/d.load.rate, func() { d.carryInChunks(h, left-chunk, then) })
}

// before is the order of a rule.
func (d *driver) before(a, b *transfer) bool {
	switch {
	case a.started != b.started && d.rule.chunk == 0:
		return a.started
	case d.rule.lateLast && a.late != b.late:
		return !a.late
	}
	return d.rule.order(a, b)
}

// fits reports whether a transfer crosses in time without making another late;
// others that can be refused are, if the rule displaces.
func (d *driver) fits(h *driverHost, x *transfer) bool {
	all := slices.Concat(h.waiting, h.reserved)
	sort.SliceStable(all, func(i, j int) bool { return d.before(all[i], all[j]) })
	before, after := d.now+h.inFlight/d.load.rate, d.now+h.inFlight/d.load.rate
	if d.load.responses {
		after += d.load.run
		before += d.load.run
	}
	placed := false
	displaced := map[*transfer]bool{}
	place := func() bool {
		placed = true
		after += x.left / d.load.rate
		return after <= x.due
	}
	for _, w := range all {
		if !placed && d.before(x, w) && !place() {
			return false
		}
		length := w.left / d.load.rate
		before, after = before+length, after+length
		if !placed {
			continue
		}
		harmed := after > w.lastDue
		refusable := d.rule.displaces && !d.load.responses && !w.started && (!w.returned || before > w.lastDue)
		if refusable && !w.returned {
			harmed = after > w.due
		}
		if !harmed || !refusable && before > w.lastDue {
			continue
		}
		if !refusable {
			return false
		}
		after -= length
		displaced[w] = true
	}
	if !placed && !place() {
		return false
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(w *transfer) bool { return displaced[w] })
	for w := range displaced {
		d.refuse(w, after-d.now)
	}
	return true
}

func (d *driver) enqueue(h *driverHost, x *transfer) {
	x.queued = d.now
	h.waiting = append(h.waiting, x)
	d.pump(h)
}

// next returns the index of the transfer that goes next.
func (d *driver) next(h *driverHost) int {
	first := 0
	for i, w := range h.waiting {
		if d.before(w, h.waiting[first]) {
			first = i
		}
	}
	if !d.rule.guard {
		return first
	}
	start := d.now + h.inFlight/d.load.rate
	end := start + h.waiting[first].left/d.load.rate
	urgent := first
	for i, w := range h.waiting {
		length := w.left / d.load.rate
		if i != first && start+length <= w.lastDue && end+length > w.lastDue && (urgent == first || w.lastDue < h.waiting[urgent].lastDue) {
			urgent = i
		}
	}
	return urgent
}

// pump hands transfers to the link while its window has room.
func (d *driver) pump(h *driverHost) {
	for len(h.waiting) > 0 {
		first := d.next(h)
		x := h.waiting[first]
		bytes := x.left
		if d.rule.chunk > 0 {
			bytes = min(bytes, d.rule.chunk)
		}
		if h.large > 1 && (h.large+bytes)/d.load.rate > d.rule.window {
			return
		}
		x.started = true
		x.left -= bytes
		h.waiting = append(h.waiting[:first], h.waiting[first+1:]...)
		if x.left > 0 {
			if d.rule.share {
				x.queued = d.now
				h.waiting = append(h.waiting, x)
			} else {
				h.waiting = append([]*transfer{x}, h.waiting...)
			}
		}
		last := x.left <= 0
		d.carry(h, bytes, bytes, func() {
			if last {
				d.crossed(h, x)
			}
			d.pump(h)
		})
	}
}

func (d *driver) crossed(h *driverHost, x *transfer) {
	if d.load.responses {
		d.end(x)
		return
	}
	if d.now > x.arrived+d.load.deadline-0.7*d.load.run {
		d.out.failed++
		return
	}
	d.slot(h, func() { d.end(x) })
}

func (d *driver) end(x *transfer) {
	switch took := d.now - x.arrived; {
	case took <= d.load.objective:
		d.out.inTime++
	case took <= d.load.deadline:
		d.out.late++
	default:
		d.out.failed++
	}
}

// slot runs a request on one of the host's slots.
func (d *driver) slot(h *driverHost, then func()) {
	run := func() {
		h.busy++
		d.after(d.load.run*math.Exp(0.3*d.rng.NormFloat64()-0.045), func() {
			h.busy--
			then()
			if len(h.runs) > 0 {
				next := h.runs[0]
				h.runs = h.runs[1:]
				next()
			}
		})
	}
	if h.busy >= driverSlots {
		h.runs = append(h.runs, run)
		return
	}
	run()
}

// mostInTime is the share of transfers that links which are one, with full
// knowledge of all arrivals, carry by their objective. Objectives end in the order
// of arrival, so that leaving out the longest of a busy period whenever one would
// be late serves the most.
func mostInTime(l load) float64 {
	arrivals := rand.New(rand.NewPCG(1, 2))
	type job struct{ at, length float64 }
	var busy []job
	end, offered, lost := 0.0, 0, 0
	for t := 0.0; t < l.time; {
		t += arrivals.ExpFloat64() / (l.perSecond * (1 + l.amplitude))
		size := l.drawSize(arrivals)
		if arrivals.Float64()*(1+l.amplitude)*l.perSecond > l.rateAt(t) {
			continue
		}
		offered++
		if t >= end {
			busy = busy[:0]
		}
		length := size / (l.rate * driverHosts)
		busy = append(busy, job{t, length})
		end = max(end, t) + length
		if end <= t+l.objective-l.run {
			continue
		}
		longest := 0
		for i := range busy {
			if busy[i].length > busy[longest].length {
				longest = i
			}
		}
		busy = append(busy[:longest], busy[longest+1:]...)
		lost++
		end = 0
		for _, j := range busy {
			end = max(end, j.at) + j.length
		}
	}
	return 100 * float64(offered-lost) / float64(offered)
}

var driverRules = []rule{
	{name: "no rule", order: byArrival, window: math.Inf(1)},
	{name: "before: 250 ms in order of arrival", order: byArrival, window: 0.25, former: true},
	{name: "smallest first, one at a time", order: bySize},
	{name: "earliest deadline first, one at a time", order: byDeadline},
	{name: "pacing: equal shares, 16 kB", order: byArrival, chunk: 16e3, share: true},
	{name: "shortest remaining first, 16 kB", order: byLeft, chunk: 16e3},
	{name: "admission, arrival, one at a time", order: byArrival, admits: true},
	{name: "admission, arrival, one, late last", order: byArrival, admits: true, lateLast: true, guard: true},
	{name: "admission, earliest deadline, late last", order: byDeadline, admits: true, displaces: true, lateLast: true, guard: true},
	{name: "admission, smallest, one at a time", order: bySize, admits: true, displaces: true},
	{name: "admission, smallest, late last", order: bySize, admits: true, displaces: true, lateLast: true},
	{name: "admission, smallest, late last, guard", order: bySize, admits: true, displaces: true, lateLast: true, guard: true},
	{name: "the same, 100 ms", order: bySize, window: 0.1, admits: true, displaces: true, lateLast: true, guard: true},
	{name: "the same, 16 kB", order: bySize, chunk: 16e3, admits: true, displaces: true, lateLast: true, guard: true},
	{name: "shortest remaining, 16 kB, late last, guard", order: byLeft, chunk: 16e3, admits: true, displaces: true, lateLast: true, guard: true},
	{name: "Queue, whole transfers", product: true, whole: true},
	{name: "the same, promises can be broken", product: true, whole: true, breakPromises: true},
	{name: "Queue, written in chunks of 16 kB", product: true},
}

// printTable makes TestDriver print the table of docs/design/links.md.
var printTable = flag.Bool("table", false, "play all rules and print their table")

// The rule that is built must serve callers better than the one before, under each
// load, and run next to nothing in vain.
func TestDriver(t *testing.T) {
	many := downloads
	many.name, many.perSecond = "downloads 230/s", 230
	for _, l := range []load{uploads, downloads, many} {
		if *printTable {
			t.Logf("%s: at most %.1f%% in time", l.name, mostInTime(l))
			t.Logf("%-44s | in t. | late | refu. | fail | small in time | p50 ms | p99 ms", "rule")
			for _, r := range driverRules {
				t.Logf("%-44s | %s", r.name, playLoad(l, r))
			}
			continue
		}
		l.time = 30
		before, built := playLoad(l, driverRules[1]), playLoad(l, driverRules[len(driverRules)-1])
		if built.inTime < 2*before.inTime || built.failed*50 > built.offered || built.smallsInTime*100 < built.smalls*99 {
			t.Errorf("%s: %s; before: %s", l.name, built, before)
		}
	}
}
