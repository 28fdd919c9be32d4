package rollouts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

const service = "status-desk"

// rolloutDuration is the time from start to deadline.
const rolloutDuration = 2 * time.Minute

// fleet is a set of managers connected through in-memory fakes.
type fleet struct {
	t       *testing.T
	store   *store.Store
	members *membership.Table
	nodes   []*fakeNode
	holder  *snapshot.Holder
	doc     *document.Document
	// respond returns the result of a call to an upstream of a version.
	respond func(version string) call.Result
	// ran counts the calls run by upstreams, by version.
	ran map[string]int

	mu        sync.Mutex
	audit     []api.AuditEntry
	sentBytes int
}

// fakeNode is a manager with its member record and fake peer connections.
type fakeNode struct {
	*Manager
	fleet  *fleet
	record membership.Record
	dead   atomic.Bool
	stop   context.CancelFunc
}

var errDead = errors.New("the node is dead")

// Publish implements gossip.Publisher by merging the item into every live node.
func (n *fakeNode) Publish(_ string, item []byte) {
	for _, o := range n.fleet.nodes {
		if o != n && !o.dead.Load() && !n.dead.Load() {
			if _, err := o.Merge(item); err != nil {
				n.fleet.t.Error(err)
			}
		}
	}
}

// Call implements rpc.Invoker and encodes messages as on the wire.
func (n *fakeNode) Call(ctx context.Context, address, method string, in, out any) error {
	to := n.fleet.node(address)
	if to == nil || to.dead.Load() || n.dead.Load() {
		return errDead
	}
	body, err := wire.Marshal(in)
	if err != nil {
		return err
	}
	n.fleet.mu.Lock()
	n.fleet.sentBytes += len(body)
	n.fleet.mu.Unlock()
	var reply any
	switch method {
	case ReportMethod:
		var r canary.Report
		if err := wire.Unmarshal(body, &r); err != nil {
			return err
		}
		reply, err = to.HandleReport(ctx, r)
	case EvidenceMethod:
		var r EvidenceRequest
		if err := wire.Unmarshal(body, &r); err != nil {
			return err
		}
		reply, err = to.HandleEvidence(ctx, r)
	}
	if err != nil {
		return err
	}
	if body, err = wire.Marshal(reply); err != nil {
		return err
	}
	return wire.Unmarshal(body, out)
}

// Record implements audit.Recorder.
func (f *fleet) Record(e api.AuditEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.audit = append(f.audit, e)
}

func (f *fleet) audited(action string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.audit {
		if e.Action == action {
			n++
		}
	}
	return n
}

func (f *fleet) node(address string) *fakeNode {
	for _, n := range f.nodes {
		if n.self().Address == address {
			return n
		}
	}
	return nil
}

// newFleet starts n nodes of each version.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, store: store.New(1), members: membership.NewTable(), holder: &snapshot.Holder{}, ran: map[string]int{},
		respond: func(string) call.Result {
			return call.Result{Code: api.OK, Ran: api.RanYes, Status: http.StatusOK}
		},
	}
	for i := range 2 * n {
		f.addNode(i, []string{"v1", "v2"}[i%2])
	}
	f.apply()
	f.start()
	return f
}

func (f *fleet) addNode(i int, version string) {
	n := &fakeNode{fleet: f, record: membership.Record{
		Address: fmt.Sprintf("10.0.0.%d:7001", i), DataCentre: "dc-0", Incarnation: 1, State: membership.Alive,
		Service: service, Version: version, Upstream: api.UpstreamReady, Slots: 10,
	}}
	f.members.Merge(n.record)
	f.nodes = append(f.nodes, n)
	f.resetManager(n)
}

// resetManager gives a node a manager without state, as after a restart.
func (f *fleet) resetManager(n *fakeNode) {
	n.dead.Store(false)
	n.Manager = NewManager(Config{
		Self:    n.self,
		Members: f.members, Holder: f.holder, Peers: n, Store: f.store, Audit: f, Publisher: n,
	})
}

// start runs every manager until the test ends.
func (f *fleet) start() {
	for _, n := range f.nodes {
		ctx, cancel := context.WithCancel(f.t.Context())
		n.stop = cancel
		go func() { _ = n.Run(ctx) }()
	}
}

// stop stops every manager.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
}

func (f *fleet) kill(n *fakeNode) {
	n.dead.Store(true)
	n.stop()
	n.update(func(r *membership.Record) { r.State = membership.Gone })
}

// self returns the node's own member record.
func (n *fakeNode) self() membership.Record {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.record
}

// update changes the node's member record in the shared table.
func (n *fakeNode) update(change func(*membership.Record)) {
	n.fleet.mu.Lock()
	change(&n.record)
	n.record.Sequence++
	r := n.record
	n.fleet.mu.Unlock()
	n.fleet.members.Merge(r)
}

// apply puts a document with the given rollouts in force on every node.
func (f *fleet) apply(rollouts ...document.Rollout) {
	doc := &document.Document{
		Services: []document.Service{{Name: service, Versions: []string{"v1", "v2", "v3"}, Current: "v1"}},
		Routes: []document.Route{{
			Name: "status", Match: document.Match{Prefix: "/status"}, Service: service, Idempotent: true,
			TimeLimit: document.Duration(2 * time.Second), Caller: document.Buyer,
		}},
		Rollouts: rollouts,
	}
	text, err := json.Marshal(doc)
	if err != nil {
		f.t.Fatal(err)
	}
	var prev *document.AcceptedConfig
	if s := f.holder.Current(); s != nil {
		prev = s.Accepted
	}
	envelope, err := document.NextAccepted(prev, f.doc, text, doc, "session", "asha", time.Now()).Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	s, err := snapshot.Build(envelope)
	if err != nil {
		f.t.Fatal(err)
	}
	f.doc = doc
	f.holder.StoreIfNewer(s)
	for _, n := range f.nodes {
		n.ConfigChanged(s)
	}
}

// rolloutTo returns a rollout from v1 that starts in ten seconds.
func rolloutTo(version string) document.Rollout {
	start := time.Now().Add(10 * time.Second)
	return document.Rollout{
		Service: service, From: "v1", To: version, Start: start, Deadline: start.Add(rolloutDuration), FirstShare: 5,
	}
}

// callsPerSecond is the call rate of runLoad.
const callsPerSecond = 100

// runLoad sends calls for a duration, with each node as entry in turn.
func (f *fleet) runLoad(d time.Duration) {
	for i := range int(d.Seconds() * callsPerSecond) {
		f.sendCall(f.nodes[i%len(f.nodes)], i)
		time.Sleep(time.Second / callsPerSecond)
	}
}

func (f *fleet) sendCall(entry *fakeNode, i int) {
	if entry.dead.Load() {
		return
	}
	s := f.holder.Current()
	for range 2 {
		u := float64(i*7919%callsPerSecond) / callsPerSecond
		version := entry.ChooseVersion(s, service, u)
		res := f.callGate(i, version)
		if res.Code != api.CallWithdrawn {
			return
		}
		entry.VersionRefused(s, service, version)
	}
}

// callGate runs a call at the gate of a live node of the version.
func (f *fleet) callGate(i int, version string) call.Result {
	for k := range f.nodes {
		n := f.nodes[(i+k)%len(f.nodes)]
		if n.dead.Load() || n.self().Version != version {
			continue
		}
		handler := n.GateMiddleware(func(context.Context, http.ResponseWriter, *http.Request, *call.Call) call.Result {
			f.ran[version]++
			return f.respond(version)
		})
		c := &call.Call{Service: service, Version: version, Route: "status"}
		return handler(f.t.Context(), httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/status", nil), c)
	}
	return call.Refuse(api.CallNoUpstream, nil)
}

// failVersion makes every call to a version fail.
func (f *fleet) failVersion(bad string) {
	f.respond = func(version string) call.Result {
		if version == bad {
			return call.Result{Code: api.OK, Ran: api.RanYes, Status: http.StatusInternalServerError}
		}
		return call.Result{Code: api.OK, Ran: api.RanYes, Status: http.StatusOK}
	}
}

// row returns the rollout as the node reports it to operators.
func (n *fakeNode) row() api.Rollout {
	rows := n.Rollouts(context.Background()).Rollouts
	if len(rows) == 0 {
		return api.Rollout{}
	}
	return rows[0]
}

// expectState checks the rollout's state on every live node.
func (f *fleet) expectState(state string) {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.dead.Load() {
			continue
		}
		if r := n.row(); r.State != state {
			f.t.Errorf("%s: %s at %g%%, step %d: %s; want %s", n.self().Address, r.State, r.Share, r.Step, r.Reason, state)
		}
	}
}

// outcomes reads the outcome records from the store.
func (f *fleet) outcomes() []OutcomeRecord {
	f.t.Helper()
	entries, _, err := f.store.List(context.Background(), "daisytide/moves/", false)
	if err != nil {
		f.t.Fatal(err)
	}
	var out []OutcomeRecord
	for _, e := range entries {
		var record OutcomeRecord
		if err := json.Unmarshal(e.Value, &record); err != nil {
			f.t.Fatal(err)
		}
		out = append(out, record)
	}
	return out
}

// takeSentBytes returns the bytes of RPC requests to peers since the last call.
func (f *fleet) takeSentBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.sentBytes
	f.sentBytes = 0
	return n
}
