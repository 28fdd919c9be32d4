// Package canary tells from calls whether a new version of a service is
// worse than the old one. Gates count with a Recorder, judges add the reports
// up in a Judge. Both take their time from the caller and do no I/O.
package canary

import (
	"math"
	"math/bits"
	"time"
)

// Duration buckets: bucket i holds runs of up to bucketUnit*2^(i/2).
const (
	bucketCount    = 40
	shortestBucket = 125 * time.Microsecond
)

// bucketOf returns the bucket of a run that took d.
func bucketOf(d time.Duration) int {
	q := uint64(max(d, 0)) / uint64(shortestBucket)
	if q == 0 {
		return 0
	}
	// Two buckets per doubling; the upper begins at the square root of two.
	power := bits.Len64(q) - 1
	i := 2*power + 1
	if d > bucketUpperBound(i) {
		i++
	}
	return min(i, bucketCount-1)
}

// bucketEdge returns the longest run of bucket i.
func bucketUpperBound(i int) time.Duration {
	return time.Duration(float64(shortestBucket) * math.Exp2(float64(i)/2))
}

// Counts are what the calls of one route have shown of one upstream since its
// node started to count. Every field only rises.
type Counts struct {
	// Runs counts the calls that the upstream ran or may have run.
	Runs uint64
	// Failures counts those that failed.
	Failures uint64
	// Buckets counts runs by duration, cold ones left out.
	Buckets [bucketCount]uint64
}

// minus returns the growth from old to c, or false when c is older.
func (c Counts) minus(old Counts) (Counts, bool) {
	if c.Runs < old.Runs || c.Failures < old.Failures {
		return Counts{}, false
	}
	d := Counts{Runs: c.Runs - old.Runs, Failures: c.Failures - old.Failures}
	for i := range c.Buckets {
		if c.Buckets[i] < old.Buckets[i] {
			return Counts{}, false
		}
		d.Buckets[i] = c.Buckets[i] - old.Buckets[i]
	}
	return d, true
}

func (c *Counts) add(d Counts) {
	c.Runs += d.Runs
	c.Failures += d.Failures
	for i := range c.Buckets {
		c.Buckets[i] += d.Buckets[i]
	}
}

// RouteCounts are the counts of one route as they are sent: the buckets
// without the empty ones at both ends.
type RouteCounts struct {
	Route       string   `cbor:"1,keyasint"`
	Runs        uint64   `cbor:"2,keyasint"`
	Failures    uint64   `cbor:"3,keyasint,omitempty"`
	FirstBucket int      `cbor:"4,keyasint,omitempty"`
	Buckets     []uint64 `cbor:"5,keyasint,omitempty"`
}

// pack prepares counts for sending.
func pack(route string, c Counts) RouteCounts {
	r := RouteCounts{Route: route, Runs: c.Runs, Failures: c.Failures}
	first, last := 0, bucketCount-1
	for first < bucketCount && c.Buckets[first] == 0 {
		first++
	}
	for last >= first && c.Buckets[last] == 0 {
		last--
	}
	if first <= last {
		r.FirstBucket = first
		r.Buckets = append([]uint64(nil), c.Buckets[first:last+1]...)
	}
	return r
}

// unpack is the reverse of pack; buckets out of range are dropped.
func unpack(r RouteCounts) Counts {
	c := Counts{Runs: r.Runs, Failures: r.Failures}
	for i, n := range r.Buckets {
		if at := r.FirstBucket + i; at >= 0 && at < bucketCount {
			c.Buckets[at] = n
		}
	}
	return c
}

// Report is what one gate tells the judges of its service's move.
type Report struct {
	Service     string `cbor:"1,keyasint"`
	StartConfig uint64 `cbor:"2,keyasint"`
	// Reporter and Incarnation identify the counting process.
	Reporter    string        `cbor:"3,keyasint"`
	Incarnation uint64        `cbor:"4,keyasint"`
	Version     string        `cbor:"5,keyasint"`
	Routes      []RouteCounts `cbor:"6,keyasint,omitempty"`
	// HardFailure says what the gate has seen fail beyond doubt; empty where
	// nothing has.
	HardFailure string `cbor:"7,keyasint,omitempty"`
	// HardFailureRoute is the route that HardFailure speaks of.
	HardFailureRoute string `cbor:"8,keyasint,omitempty"`
}

// SlowThreshold is the duration of one route above which a run counts as slow.
type SlowThreshold struct {
	Route    string        `cbor:"1,keyasint"`
	Duration time.Duration `cbor:"2,keyasint"`
}
