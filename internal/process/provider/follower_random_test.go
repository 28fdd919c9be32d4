package provider

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// Configurations arrive from the store and from peers delayed, duplicated,
// damaged and out of order. The number in force must never decrease and must
// always be the highest one received intact.
func TestConfigurationNumberNeverDecreasesUnderRandomUpdates(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		r, peer := newFollower(store.New(seed)), newFollower(store.New(seed))
		highest := uint64(0)
		for step := range 40 {
			number := uint64(1 + rng.IntN(60))
			before := r.HighestNumber()
			valid := true
			switch rng.IntN(3) {
			case 0:
				r.applyNewestConfig([]kvstore.Entry{{Key: opConfig, Value: []byte(strconv.FormatUint(number, 10)), Revision: uint64(step)}})
			case 1:
				r.applyNewestConfig([]kvstore.Entry{{Key: opConfig, Value: []byte("not " + strconv.FormatUint(number, 10)), Revision: uint64(step)}})
				valid = false
			default:
				if err := peer.applyConfig([]byte(strconv.FormatUint(number, 10))); err != nil {
					t.Fatal(err)
				}
				number = peer.HighestNumber()
				r.Offer(peer.Holder.Current())
			}
			if valid {
				highest = max(highest, number)
			}
			if r.HighestNumber() < before || r.HighestNumber() != highest {
				t.Fatalf("seed %d, step %d: number went from %d to %d, the highest received is %d", seed, step, before, r.HighestNumber(), highest)
			}
		}
	}
}
