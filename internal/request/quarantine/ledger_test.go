package quarantine

import (
	"testing"
	"time"
)

func TestVerdictsFollowFromTheFactsInAnyOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	until := start.Add(SuspectFor).Unix()
	crowd := Fact{ID: 1, Service: "s", Prints: []Fingerprint{1, 2, 3}, Until: until}
	second := Fact{ID: 2, Service: "s", Prints: []Fingerprint{2, 4, 1}, Until: until}
	alone := Fact{ID: 3, Service: "s", Prints: []Fingerprint{1}, Again: []Fingerprint{1}, Until: until}
	well := Fact{ID: 4, Service: "s", Cleared: 2, Crashes: []uint64{1}, Until: until}
	for name, c := range map[string]struct {
		facts []Fact
		want  map[Fingerprint]Verdict
	}{
		"a crash makes all of them suspect":            {[]Fact{crowd}, map[Fingerprint]Verdict{1: Suspect, 2: Suspect, 3: Suspect, 4: Free}},
		"a run that went well alone clears":            {[]Fact{crowd, well}, map[Fingerprint]Verdict{1: Suspect, 2: Free, 3: Suspect}},
		"a second crash refuses who was in both":       {[]Fact{crowd, second}, map[Fingerprint]Verdict{1: Quarantined, 2: Quarantined, 3: Suspect, 4: Suspect}},
		"a lone second crash acquits the neighbours":   {[]Fact{crowd, alone}, map[Fingerprint]Verdict{1: Quarantined, 2: Free, 3: Free}},
		"a lone crash explains every crash it was in":  {[]Fact{crowd, second, alone}, map[Fingerprint]Verdict{1: Quarantined, 2: Free, 3: Free, 4: Free}},
		"a fact of another service has nothing to say": {[]Fact{crowd, {ID: 9, Service: "x", Prints: []Fingerprint{1}, Until: until}}, map[Fingerprint]Verdict{1: Suspect}},
	} {
		t.Run(name, func(t *testing.T) {
			for first := range c.facts {
				l := NewLedger(func() time.Time { return start })
				for i := range 2 * len(c.facts) {
					l.Add(c.facts[(first+i)%len(c.facts)])
				}
				for p, want := range c.want {
					if got, _ := l.Judge("s", p); got != want {
						t.Errorf("print %d: verdict %d, want %d", p, got, want)
					}
				}
			}
		})
	}
}

func TestBlameEndsWithItsTime(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(func() time.Time { return now })
	l.Add(Fact{ID: 1, Service: "s", Prints: []Fingerprint{1}, Again: []Fingerprint{1}, Until: now.Add(time.Hour).Unix()})
	if v, _ := l.Judge("s", 1); v != Quarantined {
		t.Fatalf("verdict %d", v)
	}
	now = now.Add(QuarantineFor)
	if v, _ := l.Judge("s", 1); v != Free {
		t.Errorf("still judged %d after the time", v)
	}
	l.Expire()
	if l.Any("s") || len(l.Items()) != 0 || l.Sum() != 0 {
		t.Error("facts are left after their time")
	}
}

func TestASingleBrokenConnectionIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		e    Evidence
		want bool
	}{
		"the upstream takes no connections":    {Evidence{Running: 1, Cut: 1}, true},
		"it announced itself anew":             {Evidence{Reachable: true, Announced: true, Running: 1, Cut: 1}, true},
		"all of several lost theirs":           {Evidence{Reachable: true, Running: 3, Cut: 3}, true},
		"one of several lost its connection":   {Evidence{Reachable: true, Running: 3, Cut: 1}, false},
		"a lone one lost it, upstream is fine": {Evidence{Reachable: true, Running: 1, Cut: 1}, false},
	} {
		if got := Crashed(c.e); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
