package quota

import (
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/conn/wire"
)

// Guards against messages that cost more between data centres than planned: 250 bytes
// for a message and its reply under the typical load.
func TestMessagesAreSmall(t *testing.T) {
	s := newSim(1, 74)
	typicalLoad(s)
	s.run(5 * time.Second)
	total, count := 0, 0
	s.onAnswer = func(a *Ask, r Reply) {
		for _, v := range []any{a, r} {
			b, err := wire.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			total += len(b)
		}
		count++
	}
	s.run(3 * time.Second)
	t.Logf("%d bytes for a message and its reply", total/count)
	if total/count > 250 {
		t.Errorf("%d bytes for a message and its reply, want at most 250", total/count)
	}
}
