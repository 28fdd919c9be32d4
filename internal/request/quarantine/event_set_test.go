package quarantine

import (
	"testing"
	"time"
)

func TestVerdictsFollowFromTheFactsInAnyOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	until := start.Add(SuspectTTL).Unix()
	crowd := Event{ID: 1, Service: "s", Fingerprints: []Fingerprint{1, 2, 3}, ExpiresUnix: until}
	second := Event{ID: 2, Service: "s", Fingerprints: []Fingerprint{2, 4, 1}, ExpiresUnix: until}
	alone := Event{ID: 3, Service: "s", Fingerprints: []Fingerprint{1}, RepeatSuspects: []Fingerprint{1}, ExpiresUnix: until}
	well := Event{ID: 4, Service: "s", Cleared: 2, ClearedCrashes: []uint64{1}, ExpiresUnix: until}
	for name, c := range map[string]struct {
		facts []Event
		want  map[Fingerprint]Verdict
	}{
		"a crash makes all of them suspect":            {[]Event{crowd}, map[Fingerprint]Verdict{1: Suspect, 2: Suspect, 3: Suspect, 4: Unsuspected}},
		"a run that went well alone clears":            {[]Event{crowd, well}, map[Fingerprint]Verdict{1: Suspect, 2: Unsuspected, 3: Suspect}},
		"a second crash refuses who was in both":       {[]Event{crowd, second}, map[Fingerprint]Verdict{1: Quarantined, 2: Quarantined, 3: Suspect, 4: Suspect}},
		"a lone second crash acquits the neighbours":   {[]Event{crowd, alone}, map[Fingerprint]Verdict{1: Quarantined, 2: Unsuspected, 3: Unsuspected}},
		"a lone crash explains every crash it was in":  {[]Event{crowd, second, alone}, map[Fingerprint]Verdict{1: Quarantined, 2: Unsuspected, 3: Unsuspected, 4: Unsuspected}},
		"a fact of another service has nothing to say": {[]Event{crowd, {ID: 9, Service: "x", Fingerprints: []Fingerprint{1}, ExpiresUnix: until}}, map[Fingerprint]Verdict{1: Suspect}},
	} {
		t.Run(name, func(t *testing.T) {
			for first := range c.facts {
				l := NewEventSet(func() time.Time { return start })
				for i := range 2 * len(c.facts) {
					l.Add(c.facts[(first+i)%len(c.facts)])
				}
				for p, want := range c.want {
					if got, _ := l.Lookup("s", p); got != want {
						t.Errorf("print %d: verdict %d, want %d", p, got, want)
					}
				}
			}
		})
	}
}

func TestBlameEndsWithItsTime(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewEventSet(func() time.Time { return now })
	l.Add(Event{ID: 1, Service: "s", Fingerprints: []Fingerprint{1}, RepeatSuspects: []Fingerprint{1}, ExpiresUnix: now.Add(time.Hour).Unix()})
	if v, _ := l.Lookup("s", 1); v != Quarantined {
		t.Fatalf("verdict %d", v)
	}
	now = now.Add(QuarantineTTL)
	if v, _ := l.Lookup("s", 1); v != Unsuspected {
		t.Errorf("still judged %d after the time", v)
	}
	l.Expire()
	if l.HasSuspects("s") || len(l.Items()) != 0 || l.Checksum() != 0 {
		t.Error("facts are left after their time")
	}
}

func TestASingleBrokenConnectionIsNoCrash(t *testing.T) {
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
