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

// inFleet runs a test over three nodes of each version in virtual time.
func inFleet(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(2 * time.Second)
		test(f)
		f.stop()
		synctest.Wait()
	})
}

func TestAGoodMoveIsDoneInTimeAndItsEndWrittenOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(moveTo("v2"))
		f.load(10*time.Second + moveLength)
		f.everywhere(stateDone)
		time.Sleep(2 * storeMaxWait)
		if ends := f.ends(); len(ends) != 1 || ends[0].Outcome != OutcomeDone || ends[0].Why == "" {
			t.Errorf("ends %+v", ends)
		}
		if n := f.audited("rollout-end"); n != 1 {
			t.Errorf("%d audit entries of the end", n)
		}
		if got, want := f.audited("rollout-step"), f.nodes[0].row().Steps; got != want {
			t.Errorf("%d audit entries of %d steps", got, want)
		}
	})
}

func TestABadVersionIsTakenBackEverywhereWithTheStoreDown(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(moveTo("v2"))
		f.load(30 * time.Second)
		f.store.SetFaults(store.Faults{Down: true})
		f.fail("v2")
		before := f.ran["v2"]
		f.load(2 * time.Second)
		f.everywhere(stateTakenBack)
		if met := f.ran["v2"] - before; met > callsPerSecond/10 {
			t.Errorf("%d calls met the fault", met)
		}
		after := f.ran["v2"]
		f.load(moveLength)
		if f.ran["v2"] != after {
			t.Errorf("%d calls to the version after it was taken back", f.ran["v2"]-after)
		}
		f.store.SetFaults(store.Faults{})
		time.Sleep(2 * storeMaxWait)
		if ends := f.ends(); len(ends) != 1 || ends[0].Outcome != OutcomeTakenBack {
			t.Errorf("ends %+v", ends)
		}
	})
}

func TestAWithdrawalOutlivesARestartOfAllNodes(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(moveTo("v2"))
		f.load(30 * time.Second)
		f.fail("v2")
		f.load(10 * time.Second)
		f.stop()
		synctest.Wait()
		for _, n := range f.nodes {
			f.renew(n)
			n.ConfigChanged(f.holder.Current())
		}
		f.start()
		before := f.ran["v2"]
		f.load(moveLength)
		f.everywhere(stateTakenBack)
		if n := f.ran["v2"] - before; n != 0 {
			t.Errorf("%d calls to the withdrawn version", n)
		}
	})
}

func TestAMoveGoesOnWhenItsJudgesDieAndTheStoreIsDown(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(moveTo("v2"))
		f.load(40 * time.Second)
		f.store.SetFaults(store.Faults{Down: true})
		for _, address := range f.nodes[0].ranked(f.nodes[0].anyKey())[:judgeCount] {
			f.kill(f.node(address))
		}
		f.load(10*time.Second + moveLength)
		f.everywhere(stateDone)
	})
}

func TestAGateAloneWithdrawsWhatFailsPlainly(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(moveTo("v2"))
		f.load(40 * time.Second)
		// All but one node of each version vanish without being noticed.
		for _, n := range f.nodes[2:] {
			n.dead.Store(true)
			n.stop()
		}
		f.fail("v2")
		f.load(10 * time.Second)
		f.everywhere(stateTakenBack)
	})
}

func TestAnotherBadVersionAfterABadOneIsTakenBackToo(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(moveTo("v2"))
		f.load(20 * time.Second)
		f.fail("v2")
		f.load(10 * time.Second)
		f.everywhere(stateTakenBack)
		for _, n := range f.nodes {
			if n.self().Version == "v2" {
				n.update(func(r *membership.Record) { r.Version = "v3" })
			}
		}
		f.apply(moveTo("v3"))
		f.load(20 * time.Second)
		f.everywhere(stateMoving)
		f.fail("v3")
		f.load(10 * time.Second)
		f.everywhere(stateTakenBack)
	})
}

func TestANewDocumentReplacesAMoveAndKeepsAnUnchangedOne(t *testing.T) {
	inFleet(t, func(f *fleet) {
		move := moveTo("v2")
		f.apply(move)
		f.load(40 * time.Second)
		before := f.nodes[0].row()
		f.apply(move)
		if after := f.nodes[0].row(); after.Since != before.Since || after.Share != before.Share {
			t.Errorf("an unrelated change moved %+v to %+v", before, after)
		}
		f.apply(moveTo("v3"))
		f.everywhere(stateWaiting)
		time.Sleep(2 * storeMaxWait)
		if ends := f.ends(); len(ends) != 1 || ends[0].Outcome != OutcomeReplaced || ends[0].Since != before.Since {
			t.Errorf("ends %+v", ends)
		}
	})
}

func TestOperatorsPauseResumeAndTakeBack(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(moveTo("v2"))
		f.load(30 * time.Second)
		order := func(action api.RolloutAction) *api.Error {
			return f.nodes[1].ApplyOrder(api.RolloutOrder{Service: service, Action: action, Reason: "the depot asked"}, "asha")
		}
		if err := order(api.RolloutPause); err != nil {
			t.Fatal(err)
		}
		share := f.nodes[0].row().Share
		f.load(30 * time.Second)
		f.everywhere(statePaused)
		if got := f.nodes[0].row().Share; got != share {
			t.Errorf("share went from %g to %g while paused", share, got)
		}
		if err := order(api.RolloutResume); err != nil {
			t.Fatal(err)
		}
		f.load(20 * time.Second)
		f.everywhere(stateMoving)
		if err := order(api.RolloutTakeBack); err != nil {
			t.Fatal(err)
		}
		f.load(2 * time.Second)
		f.everywhere(stateTakenBack)
		if err := order(api.RolloutResume); err == nil || err.Code != api.OperatorNoRollout {
			t.Errorf("an order to an ended move: %v", err)
		}
		if n := f.audited("rollout-order"); n != 3 {
			t.Errorf("%d audit entries of three orders", n)
		}
	})
}

func TestAMoveWhoseOldVersionHasGoneSaysSoAndSendsNoCallNowhere(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(moveTo("v2"))
		f.load(30 * time.Second)
		for _, n := range f.nodes {
			if n.self().Version == "v1" {
				n.update(func(r *membership.Record) { r.Upstream = api.UpstreamDown })
			}
		}
		if got := f.nodes[0].ChooseVersion(f.holder.Current(), service, 0.99); got != "v2" {
			t.Errorf("a call goes to %q", got)
		}
		if r := f.nodes[0].row(); !strings.Contains(r.Why, "no upstream of v1 is left") {
			t.Errorf("why %q", r.Why)
		}
		err := f.nodes[0].ApplyOrder(api.RolloutOrder{Service: service, Action: api.RolloutTakeBack}, "asha")
		if err == nil || err.Code != api.OperatorNoOldVersion {
			t.Errorf("take-back to nowhere: %v", err)
		}
		f.fail("v2")
		f.load(5 * time.Second)
		f.everywhere(stateMoving)
	})
}

func TestAnEntryThatHasNotHeardKeepsOffARefusedVersion(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(moveTo("v2"))
		f.load(30 * time.Second)
		s, n := f.holder.Current(), f.nodes[0]
		if got := n.ChooseVersion(s, service, 0); got != "v2" {
			t.Fatalf("before: %q", got)
		}
		n.VersionRefused(s, service, "v2")
		if got := n.ChooseVersion(s, service, 0); got != "v1" {
			t.Errorf("after a refusal: %q", got)
		}
		time.Sleep(avoidFor)
		if got := n.ChooseVersion(s, service, 0); got != "v2" {
			t.Errorf("for ever: %q", got)
		}
	})
}

// controlBytes is what a node may spend on control in a second.
const controlBytes = 11_000

func TestReportsOfALargeServiceAreASmallPartOfTheControlBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 28)
		f.apply(moveTo("v2"))
		f.load(20 * time.Second)
		f.sent()
		const span = 20
		f.load(span * time.Second)
		perNode := f.sent() / span / len(f.nodes)
		t.Logf("%d bytes of reports per node and second", perNode)
		if perNode > controlBytes/10 {
			t.Errorf("%d bytes per node and second", perNode)
		}
		f.stop()
		synctest.Wait()
	})
}

// anyKey returns the key of the only move.
func (n *fakeNode) anyKey() (key rollout.Key) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k := range n.moves {
		key = k
	}
	return key
}
