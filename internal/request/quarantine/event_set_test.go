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
		"a crash makes all its requests suspect":       {[]Event{crash}, map[Fingerprint]Verdict{1: Suspect, 2: Suspect, 3: Suspect, 4: Unsuspected}},
		"an exclusive run without a crash clears":      {[]Event{crash, clearance}, map[Fingerprint]Verdict{1: Suspect, 2: Unsuspected, 3: Suspect}},
		"two crashes quarantine their common requests": {[]Event{crash, secondCrash}, map[Fingerprint]Verdict{1: Quarantined, 2: Quarantined, 3: Suspect, 4: Suspect}},
		"an exclusive crash clears the others":         {[]Event{crash, exclusiveCrash}, map[Fingerprint]Verdict{1: Quarantined, 2: Unsuspected, 3: Unsuspected}},
		"an exclusive crash explains earlier crashes":  {[]Event{crash, secondCrash, exclusiveCrash}, map[Fingerprint]Verdict{1: Quarantined, 2: Unsuspected, 3: Unsuspected, 4: Unsuspected}},
		"events of another service do not count":       {[]Event{crash, {ID: 9, Service: "x", Fingerprints: []Fingerprint{1}, ExpiresUnix: expires}}, map[Fingerprint]Verdict{1: Suspect}},
	} {
		t.Run(name, func(t *testing.T) {
			for first := range c.events {
				events := NewEventSet(func() time.Time { return start })
				for i := range 2 * len(c.events) {
					events.Add(c.events[(first+i)%len(c.events)])
				}
				for fingerprint, want := range c.want {
					if got, _ := events.Lookup("s", fingerprint); got != want {
						t.Errorf("fingerprint %d: verdict %d, want %d", fingerprint, got, want)
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
		t.Errorf("verdict %d after expiry", v)
	}
	events.Expire()
	if events.HasSuspects("s") || len(events.Items()) != 0 || events.Checksum() != 0 {
		t.Error("events are left after expiry")
	}
}

func TestSingleLostConnectionIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		e    CrashEvidence
		want bool
	}{
		"the upstream accepts no connections":  {CrashEvidence{RequestsRunning: 1, ConnectionsLost: 1}, true},
		"the upstream announced itself again":  {CrashEvidence{Reachable: true, Reannounced: true, RequestsRunning: 1, ConnectionsLost: 1}, true},
		"all of several connections were lost": {CrashEvidence{Reachable: true, RequestsRunning: 3, ConnectionsLost: 3}, true},
		"one of several connections was lost":  {CrashEvidence{Reachable: true, RequestsRunning: 3, ConnectionsLost: 1}, false},
		"the only connection was lost":         {CrashEvidence{Reachable: true, RequestsRunning: 1, ConnectionsLost: 1}, false},
	} {
		if got := IsCrash(c.e); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
