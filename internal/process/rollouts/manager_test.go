package rollouts

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// withFleet runs a test with three nodes of each version in virtual time.
func withFleet(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(2 * time.Second)
		test(f)
		f.stop()
		synctest.Wait()
	})
}

func TestHealthyRolloutCompletesByDeadlineAndIsRecordedOnce(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.apply(rolloutTo("v2"))
		f.runLoad(10*time.Second + rolloutDuration)
		f.expectState(stateDone)
		time.Sleep(2 * storeMaxBackoff)
		if outcomes := f.outcomes(); len(outcomes) != 1 || outcomes[0].Outcome != OutcomeDone || outcomes[0].Reason == "" {
			t.Errorf("stored outcomes %+v", outcomes)
		}
		if n := f.audited("rollout-end"); n != 1 {
			t.Errorf("%d audit entries of the outcome, want 1", n)
		}
		if got, want := f.audited("rollout-step"), f.nodes[0].row().Steps; got != want {
			t.Errorf("%d audit entries of steps, want %d", got, want)
		}
	})
}

func TestBadVersionIsTakenBackOnAllNodesWhileStoreIsDown(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.apply(rolloutTo("v2"))
		f.runLoad(30 * time.Second)
		f.store.SetFaults(store.Faults{Down: true})
		f.failVersion("v2")
		before := f.ran["v2"]
		f.runLoad(2 * time.Second)
		f.expectState(stateTakenBack)
		if faulty := f.ran["v2"] - before; faulty > callsPerSecond/10 {
			t.Errorf("%d calls reached the failing version", faulty)
		}
		after := f.ran["v2"]
		f.runLoad(rolloutDuration)
		if f.ran["v2"] != after {
			t.Errorf("%d calls to the version after it was withdrawn", f.ran["v2"]-after)
		}
		f.store.SetFaults(store.Faults{})
		time.Sleep(2 * storeMaxBackoff)
		if outcomes := f.outcomes(); len(outcomes) != 1 || outcomes[0].Outcome != OutcomeTakenBack {
			t.Errorf("stored outcomes %+v", outcomes)
		}
	})
}

func TestWithdrawalSurvivesRestartOfAllNodes(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.apply(rolloutTo("v2"))
		f.runLoad(30 * time.Second)
		f.failVersion("v2")
		f.runLoad(10 * time.Second)
		f.stop()
		synctest.Wait()
		for _, n := range f.nodes {
			f.resetManager(n)
			n.ConfigChanged(f.holder.Current())
		}
		f.start()
		before := f.ran["v2"]
		f.runLoad(rolloutDuration)
		f.expectState(stateTakenBack)
		if n := f.ran["v2"] - before; n != 0 {
			t.Errorf("%d calls to the withdrawn version", n)
		}
	})
}

func TestRolloutContinuesAfterAnalyzersDieWhileStoreIsDown(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.apply(rolloutTo("v2"))
		f.runLoad(40 * time.Second)
		f.store.SetFaults(store.Faults{Down: true})
		for _, address := range f.nodes[0].rankedNodes(f.nodes[0].onlyKey())[:analyzerCount] {
			f.kill(f.node(address))
		}
		f.runLoad(10*time.Second + rolloutDuration)
		f.expectState(stateDone)
	})
}

func TestGateWithdrawsFailingVersionIfNoAnalyzerReplies(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.apply(rolloutTo("v2"))
		f.runLoad(40 * time.Second)
		// All but one node of each version die; their member records stay alive.
		for _, n := range f.nodes[2:] {
			n.dead.Store(true)
			n.stop()
		}
		f.failVersion("v2")
		f.runLoad(10 * time.Second)
		f.expectState(stateTakenBack)
	})
}

func TestSecondBadVersionIsTakenBackToo(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.apply(rolloutTo("v2"))
		f.runLoad(20 * time.Second)
		f.failVersion("v2")
		f.runLoad(10 * time.Second)
		f.expectState(stateTakenBack)
		for _, n := range f.nodes {
			if n.self().Version == "v2" {
				n.update(func(r *membership.Record) { r.Version = "v3" })
			}
		}
		f.apply(rolloutTo("v3"))
		f.runLoad(20 * time.Second)
		f.expectState(stateMoving)
		f.failVersion("v3")
		f.runLoad(10 * time.Second)
		f.expectState(stateTakenBack)
	})
}

func TestNewDocumentReplacesChangedRolloutAndKeepsUnchangedOne(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := rolloutTo("v2")
		f.apply(r)
		f.runLoad(40 * time.Second)
		before := f.nodes[0].row()
		f.apply(r)
		if after := f.nodes[0].row(); after.StartConfig != before.StartConfig || after.Share != before.Share {
			t.Errorf("an unrelated change turned the rollout from %+v into %+v", before, after)
		}
		f.apply(rolloutTo("v3"))
		f.expectState(stateWaiting)
		time.Sleep(2 * storeMaxBackoff)
		if outcomes := f.outcomes(); len(outcomes) != 1 || outcomes[0].Outcome != OutcomeReplaced || outcomes[0].StartConfig != before.StartConfig {
			t.Errorf("stored outcomes %+v", outcomes)
		}
	})
}

func TestOperatorPauseResumeAndTakeBack(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.apply(rolloutTo("v2"))
		f.runLoad(30 * time.Second)
		order := func(action api.RolloutAction) *api.Error {
			return f.nodes[1].ApplyOrder(api.RolloutOrder{Service: service, Action: action, Reason: "the depot asked"}, "asha")
		}
		if err := order(api.RolloutPause); err != nil {
			t.Fatal(err)
		}
		share := f.nodes[0].row().Share
		f.runLoad(30 * time.Second)
		f.expectState(statePaused)
		if got := f.nodes[0].row().Share; got != share {
			t.Errorf("share went from %g to %g while paused", share, got)
		}
		if err := order(api.RolloutResume); err != nil {
			t.Fatal(err)
		}
		f.runLoad(20 * time.Second)
		f.expectState(stateMoving)
		if err := order(api.RolloutTakeBack); err != nil {
			t.Fatal(err)
		}
		f.runLoad(2 * time.Second)
		f.expectState(stateTakenBack)
		if err := order(api.RolloutResume); err == nil || err.Code != api.OperatorNoRollout {
			t.Errorf("order to an ended rollout: %v, want operator-no-rollout", err)
		}
		if n := f.audited("rollout-order"); n != 3 {
			t.Errorf("%d audit entries of orders, want 3", n)
		}
	})
}

func TestRolloutWithoutOldUpstreamsKeepsServingAndReportsIt(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.apply(rolloutTo("v2"))
		f.runLoad(30 * time.Second)
		for _, n := range f.nodes {
			if n.self().Version == "v1" {
				n.update(func(r *membership.Record) { r.Upstream = api.UpstreamDown })
			}
		}
		if got := f.nodes[0].ChooseVersion(f.holder.Current(), service, 0.99); got != "v2" {
			t.Errorf("a call goes to %q, want v2", got)
		}
		if r := f.nodes[0].row(); !strings.Contains(r.Reason, "no upstream of v1 is left") {
			t.Errorf("reason %q does not mention the missing upstreams of v1", r.Reason)
		}
		err := f.nodes[0].ApplyOrder(api.RolloutOrder{Service: service, Action: api.RolloutTakeBack}, "asha")
		if err == nil || err.Code != api.OperatorNoOldVersion {
			t.Errorf("take-back without upstreams of v1: %v, want operator-no-old-version", err)
		}
		f.failVersion("v2")
		f.runLoad(5 * time.Second)
		f.expectState(stateMoving)
	})
}

func TestEntryAvoidsRefusedVersionForAWhile(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.apply(rolloutTo("v2"))
		f.runLoad(30 * time.Second)
		s, n := f.holder.Current(), f.nodes[0]
		if got := n.ChooseVersion(s, service, 0); got != "v2" {
			t.Fatalf("before the refusal: chose %q, want v2", got)
		}
		n.VersionRefused(s, service, "v2")
		if got := n.ChooseVersion(s, service, 0); got != "v1" {
			t.Errorf("after the refusal: chose %q, want v1", got)
		}
		time.Sleep(avoidDuration)
		if got := n.ChooseVersion(s, service, 0); got != "v2" {
			t.Errorf("after avoidDuration: chose %q, want v2", got)
		}
	})
}

// controlBytesPerSecond is the limit for a node's control traffic.
const controlBytesPerSecond = 11_000

func TestReportTrafficOfLargeServiceIsSmallPartOfControlLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 28)
		f.apply(rolloutTo("v2"))
		f.runLoad(20 * time.Second)
		f.takeSentBytes()
		const span = 20
		f.runLoad(span * time.Second)
		perNode := f.takeSentBytes() / span / len(f.nodes)
		t.Logf("reports: %d bytes per node and second", perNode)
		if perNode > controlBytesPerSecond/10 {
			t.Errorf("reports of %d bytes per node and second exceed a tenth of the control limit", perNode)
		}
		f.stop()
		synctest.Wait()
	})
}

// onlyKey returns the key of the only rollout.
func (n *fakeNode) onlyKey() (key rollout.Key) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k := range n.rollouts {
		key = k
	}
	return key
}
