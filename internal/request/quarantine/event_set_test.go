package quarantine

import (
	"testing"
	"time"
)

func TestVerdictsDoNotDependOnEventOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	expires := start.Add(SuspectTTL).Unix()
	crash := Event{ID: 1, Service: "s", Fingerprints: []Fingerprint{1, 2, 3}, ExpiresUnix: expires}
	secondCrash := Event{ID: 2, Service: "s", Fingerprints: []Fingerprint{2, 4, 1}, ExpiresUnix: expires}
	exclusiveCrash := Event{ID: 3, Service: "s", Fingerprints: []Fingerprint{1}, RepeatSuspects: []Fingerprint{1}, ExpiresUnix: expires}
	clearance := Event{ID: 4, Service: "s", Cleared: 2, ClearedCrashes: []uint64{1}, ExpiresUnix: expires}
	for name, c := range map[string]struct {
		events []Event
		want   map[Fingerprint]Verdict
	}{
		"a crash makes all of them suspect":            {[]Event{crash}, map[Fingerprint]Verdict{1: Suspect, 2: Suspect, 3: Suspect, 4: Unsuspected}},
		"a run that went well alone clears":            {[]Event{crash, clearance}, map[Fingerprint]Verdict{1: Suspect, 2: Unsuspected, 3: Suspect}},
		"a second crash refuses who was in both":       {[]Event{crash, secondCrash}, map[Fingerprint]Verdict{1: Quarantined, 2: Quarantined, 3: Suspect, 4: Suspect}},
		"a lone second crash acquits the neighbours":   {[]Event{crash, exclusiveCrash}, map[Fingerprint]Verdict{1: Quarantined, 2: Unsuspected, 3: Unsuspected}},
		"a lone crash explains every crash it was in":  {[]Event{crash, secondCrash, exclusiveCrash}, map[Fingerprint]Verdict{1: Quarantined, 2: Unsuspected, 3: Unsuspected, 4: Unsuspected}},
		"a fact of another service has nothing to say": {[]Event{crash, {ID: 9, Service: "x", Fingerprints: []Fingerprint{1}, ExpiresUnix: expires}}, map[Fingerprint]Verdict{1: Suspect}},
	} {
		t.Run(name, func(t *testing.T) {
			for first := range c.events {
				events := NewEventSet(func() time.Time { return start })
				for i := range 2 * len(c.events) {
					events.Add(c.events[(first+i)%len(c.events)])
				}
				for fingerprint, want := range c.want {
					if got, _ := events.Lookup("s", fingerprint); got != want {
						t.Errorf("print %d: verdict %d, want %d", fingerprint, got, want)
					}
				}
			}
		})
	}
}

func TestVerdictExpiresWithItsEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	events := NewEventSet(func() time.Time { return now })
	events.Add(Event{ID: 1, Service: "s", Fingerprints: []Fingerprint{1}, RepeatSuspects: []Fingerprint{1}, ExpiresUnix: now.Add(time.Hour).Unix()})
	if v, _ := events.Lookup("s", 1); v != Quarantined {
		t.Fatalf("verdict %d", v)
	}
	now = now.Add(QuarantineTTL)
	if v, _ := events.Lookup("s", 1); v != Unsuspected {
		t.Errorf("still judged %d after the time", v)
	}
	events.Expire()
	if events.HasSuspects("s") || len(events.Items()) != 0 || events.Checksum() != 0 {
		t.Error("facts are left after their time")
	}
}

func TestSingleLostConnectionIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		e    CrashEvidence
		want bool
	}{
		"the upstream takes no connections":    {CrashEvidence{RequestsRunning: 1, ConnectionsLost: 1}, true},
		"it announced itself anew":             {CrashEvidence{Reachable: true, Reannounced: true, RequestsRunning: 1, ConnectionsLost: 1}, true},
		"all of several lost theirs":           {CrashEvidence{Reachable: true, RequestsRunning: 3, ConnectionsLost: 3}, true},
		"one of several lost its connection":   {CrashEvidence{Reachable: true, RequestsRunning: 3, ConnectionsLost: 1}, false},
		"a lone one lost it, upstream is fine": {CrashEvidence{Reachable: true, RequestsRunning: 1, ConnectionsLost: 1}, false},
	} {
		if got := IsCrash(c.e); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
