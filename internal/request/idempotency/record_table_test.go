package idempotency

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
)

// perGate is the fleet's 150,000 calls a second over 1,000 gates.
const perGate = 150_000 / 1_000

// heldBytes counts the memory of a book and the claims beside it after a
// window of calls that all have keys.
func heldBytes(t testing.TB, perSecond, answerBytes int) (bytes uint64, b *RecordTable) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Unix(0, 0)
	b = NewRecordTable(DefaultLimits, start)
	c := &claims{window: DefaultLimits.RetentionWindow}
	calls := perSecond * int(DefaultLimits.RetentionWindow/time.Second)
	for i := range calls {
		now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		key := fmt.Sprintf("3f2504e0-4f89-11d3-9a0c-%012d", i)
		c.first(hashKey(key), DefaultLimits.MaxRecords, now)
		if _, code := b.Begin(key, Ballot{}, 1, now); code != api.OK {
			t.Fatalf("call %d of %d: %v", i, calls, code)
		}
		answer := &SavedResponse{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: make([]byte, answerBytes)}
		b.Finish(key, api.RanYes, answer, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes = after.HeapAlloc - before.HeapAlloc
	runtime.KeepAlive(b)
	runtime.KeepAlive(c)
	return bytes, b
}

func TestAWindowOfTheTargetsCallsFitsTheNode(t *testing.T) {
	const nodeBytes = 64 << 20
	for _, answer := range []int{64, 256, 4096} {
		bytes, b := heldBytes(t, perGate, answer)
		records, answers := b.Size()
		t.Logf("answers of %d bytes: %d records, %d bytes of answers, %.1f MiB in all", answer, records, answers, float64(bytes)/(1<<20))
		if records != perGate*int(DefaultLimits.RetentionWindow/time.Second) {
			t.Errorf("%d records: some were forgotten within the window", records)
		}
		if bytes > nodeBytes {
			t.Errorf("%d bytes are over the node's %d", bytes, nodeBytes)
		}
	}
}

func TestAFullBookRefusesAndForgetsNothing(t *testing.T) {
	limits := Limits{RetentionWindow: time.Minute, MaxRecords: 2 * shards, MaxResponseBytes: 10, MaxTotalResponseBytes: 100}
	start := time.Unix(0, 0)
	b := NewRecordTable(limits, start)
	ran := map[string]bool{}
	refused := 0
	for i := range 10 * shards {
		key := fmt.Sprint("key-", i)
		_, code := b.Begin(key, Ballot{}, 1, start)
		switch code {
		case api.OK:
			b.Finish(key, api.RanYes, nil, start)
			ran[key] = true
		case api.CallShed:
			refused++
		default:
			t.Fatal(code)
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	for key := range ran {
		if _, code := b.Begin(key, Ballot{}, 1, start.Add(limits.RetentionWindow)); code != api.CallAnswerNotKept {
			t.Errorf("%s within the window: %v", key, code)
		}
	}
	if _, code := b.Begin("new", Ballot{}, 1, start.Add(2*limits.RetentionWindow+time.Second)); code != api.OK {
		t.Errorf("a new key after the window: %v", code)
	}
}

func BenchmarkFirstAttemptAtTheGate(b *testing.B) {
	book := NewRecordTable(Limits{RetentionWindow: time.Second, MaxRecords: 1 << 22, MaxResponseBytes: 1 << 10, MaxTotalResponseBytes: 1 << 30}, time.Now())
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = fmt.Sprintf("3f2504e0-4f89-11d3-9a0c-%012d", i)
	}
	now := time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		key := keys[i%len(keys)]
		if _, code := book.Begin(key, Ballot{}, 1, now); code != api.OK {
			b.Fatal(code)
		}
		book.Finish(key, api.RanYes, nil, now)
	}
}
