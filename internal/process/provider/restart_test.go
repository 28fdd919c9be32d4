package provider

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
)

// In a rolling restart every node starts once. One whose peers supply the
// configuration within restartWait must not read it from the store as well.
func TestNodeThatRestartsInARunningFleetReadsNothingFromTheStore(t *testing.T) {
	for name, tc := range map[string]struct {
		supplied, watcher bool
		links             int
		wantReads         bool
	}{
		"peers supply the configuration": {supplied: true, links: 3},
		"peers have none":                {links: 3, wantReads: true},
		"no peers":                       {wantReads: true},
		"a watcher":                      {supplied: true, watcher: true, links: 3, wantReads: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(1)
				putValue(t, s, opConfig, "7")
				before := s.Counts().Total()
				r, peer := newFollower(s), newFollower(s)
				if err := peer.applyConfig([]byte("7")); err != nil {
					t.Fatal(err)
				}
				r.View = viewOf(tc.links, tc.watcher)
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = r.Run(ctx)
				}()
				time.Sleep(restartWait / 2)
				if tc.supplied {
					r.Offer(peer.Holder.Current())
				}
				time.Sleep(time.Second)
				if reads := s.Counts().Total() > before; reads != tc.wantReads || r.HighestNumber() != 7 {
					t.Errorf("read from the store: %v, want %v; configuration %d in force, want 7", reads, tc.wantReads, r.HighestNumber())
				}
				cancel()
				<-done
			})
		})
	}
}
