package canary

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/conn/wire"
)

func TestDurationLiesWithinItsBucket(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		d := time.Duration(r.Int64N(int64(40 * time.Second)))
		i := bucketOf(d)
		if d > bucketUpperBound(i)+1 || i > 0 && d < bucketUpperBound(i-1)-1 {
			t.Fatalf("%s is in bucket %d, which spans %s to %s", d, i, bucketUpperBound(i-1), bucketUpperBound(i))
		}
	}
	for _, d := range []time.Duration{-1, 0, time.Hour} {
		if i := bucketOf(d); i < 0 || i >= bucketCount {
			t.Errorf("%s is in bucket %d, out of range", d, i)
		}
	}
}

func TestCountsRoundTripThroughWireForm(t *testing.T) {
	var c Counts
	c.Runs, c.Failures, c.Buckets[3], c.Buckets[9] = 12, 2, 4, 6
	b, err := wire.Marshal(pack("status", c))
	if err != nil {
		t.Fatal(err)
	}
	var rc RouteCounts
	if err := wire.Unmarshal(b, &rc); err != nil {
		t.Fatal(err)
	}
	if got := unpack(rc); !reflect.DeepEqual(got, c) {
		t.Errorf("counts after the round trip: %+v", got)
	}
}

func TestUnpackIgnoresBucketsOutOfRange(t *testing.T) {
	unpack(RouteCounts{FirstBucket: -2, Buckets: []uint64{1, 1, 1}})
	unpack(RouteCounts{FirstBucket: bucketCount, Buckets: []uint64{1}})
}

// maxReportBytes bounds a report of 4 routes. At two reports per second to
// two analyzers this is well below the 11 KB/s that a node may spend on control
// traffic.
const maxReportBytes = 500

func TestReportOfFourRoutesStaysBelowSizeLimit(t *testing.T) {
	rec := NewRecorder(time.Time{})
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1e9, 0)
	for i := range 100_000 {
		run := rec.Begin([]string{"status", "orders", "credit", "stock"}[i%4], now)
		run.End(Succeeded, now.Add(time.Duration(r.ExpFloat64()*float64(5*time.Millisecond))))
	}
	b, err := wire.Marshal(Report{Service: "status-desk", StartConfig: 1000, Reporter: "10.20.30.40:7001", Incarnation: 1 << 60, Version: "v2", Routes: rec.Counts()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("report has %d bytes", len(b))
	if len(b) > maxReportBytes {
		t.Errorf("report has %d bytes, more than %d", len(b), maxReportBytes)
	}
}
