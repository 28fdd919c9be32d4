package idempotency

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
)

// callsPerGate is the rate per gate of a fleet of 1,000 gates with 150,000 calls
// per second.
const callsPerGate = 150_000 / 1_000

// measureTable measures the memory of a record table and its claims after one
// retention window in which every call has a key.
func measureTable(t testing.TB, perSecond, responseBytes int) (bytes uint64, table *RecordTable) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Unix(0, 0)
	table = NewRecordTable(DefaultLimits, start)
	c := &claimSet{window: DefaultLimits.RetentionWindow}
	calls := perSecond * int(DefaultLimits.RetentionWindow/time.Second)
	for i := range calls {
		now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		key := fmt.Sprintf("3f2504e0-4f89-11d3-9a0c-%012d", i)
		c.claim(hashKey(key), DefaultLimits.MaxRecords, now)
		if _, code := table.Begin(key, Ballot{}, 1, now); code != api.OK {
			t.Fatalf("call %d of %d: %v", i, calls, code)
		}
		response := &SavedResponse{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: make([]byte, responseBytes)}
		table.Finish(key, api.RanYes, response, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes = after.HeapAlloc - before.HeapAlloc
	runtime.KeepAlive(table)
	runtime.KeepAlive(c)
	return bytes, table
}

func TestRecordsOfOneWindowFitMemoryBudget(t *testing.T) {
	const memoryBudget = 64 << 20
	for _, responseBytes := range []int{64, 256, 4096} {
		bytes, table := measureTable(t, callsPerGate, responseBytes)
		records, savedBytes := table.Size()
		t.Logf("responses of %d bytes: %d records, %d bytes of responses, %.1f MiB in total", responseBytes, records, savedBytes, float64(bytes)/(1<<20))
		if records != callsPerGate*int(DefaultLimits.RetentionWindow/time.Second) {
			t.Errorf("%d records: some were evicted within the window", records)
		}
		if bytes > memoryBudget {
			t.Errorf("%d bytes used, the budget is %d", bytes, memoryBudget)
		}
	}
}

func TestFullTableRejectsNewKeysAndEvictsNone(t *testing.T) {
	limits := Limits{RetentionWindow: time.Minute, MaxRecords: 2 * shardCount, MaxResponseBytes: 10, MaxTotalResponseBytes: 100}
	start := time.Unix(0, 0)
	table := NewRecordTable(limits, start)
	ran := map[string]bool{}
	refused := 0
	for i := range 10 * shardCount {
		key := fmt.Sprint("key-", i)
		_, code := table.Begin(key, Ballot{}, 1, start)
		switch code {
		case api.OK:
			table.Finish(key, api.RanYes, nil, start)
			ran[key] = true
		case api.CallShed:
			refused++
		default:
			t.Fatal(code)
		}
	}
	if refused == 0 {
		t.Error("no key was refused")
	}
	for key := range ran {
		if _, code := table.Begin(key, Ballot{}, 1, start.Add(limits.RetentionWindow)); code != api.CallAnswerNotKept {
			t.Errorf("%s within the window: %v", key, code)
		}
	}
	if _, code := table.Begin("new", Ballot{}, 1, start.Add(2*limits.RetentionWindow+time.Second)); code != api.OK {
		t.Errorf("a new key after the window: %v", code)
	}
}

func BenchmarkFirstAttempt(b *testing.B) {
	table := NewRecordTable(Limits{RetentionWindow: time.Second, MaxRecords: 1 << 22, MaxResponseBytes: 1 << 10, MaxTotalResponseBytes: 1 << 30}, time.Now())
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = fmt.Sprintf("3f2504e0-4f89-11d3-9a0c-%012d", i)
	}
	now := time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		key := keys[i%len(keys)]
		if _, code := table.Begin(key, Ballot{}, 1, now); code != api.OK {
			b.Fatal(code)
		}
		table.Finish(key, api.RanYes, nil, now)
	}
}
