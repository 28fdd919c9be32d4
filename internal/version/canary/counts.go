// Package canary compares the calls of a service's new version with those of
// its old version and detects regressions. Gates count calls with a Recorder;
// an Analyzer adds up their reports. Both take the time from the caller and do
// no I/O.
package canary

import (
	"math"
	"math/bits"
	"time"
)

// Bucket i of a duration histogram holds runs of up to shortestBucket*2^(i/2).
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
	// There are two buckets per doubling; the upper one starts at the square
	// root of two.
	power := bits.Len64(q) - 1
	i := 2*power + 1
	if d > bucketUpperBound(i) {
		i++
	}
	return min(i, bucketCount-1)
}

// bucketUpperBound returns the longest duration that falls into bucket i.
func bucketUpperBound(i int) time.Duration {
	return time.Duration(float64(shortestBucket) * math.Exp2(float64(i)/2))
}

// Counts holds the cumulative counts of one route on one upstream since its
// node started to count. No field ever decreases.
type Counts struct {
	// Runs counts the calls that the upstream executed or may have executed.
	Runs uint64
	// Failures counts the runs that failed.
	Failures uint64
	// Buckets counts successful and overdue runs by duration, without those on
	// a cold upstream.
	Buckets [bucketCount]uint64
}

// minus returns the increase from old to c, or false if c is older than old.
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

// RouteCounts is the wire form of the counts of one route. Empty buckets at
// both ends are left out.
type RouteCounts struct {
	Route       string   `cbor:"1,keyasint"`
	Runs        uint64   `cbor:"2,keyasint"`
	Failures    uint64   `cbor:"3,keyasint,omitempty"`
	FirstBucket int      `cbor:"4,keyasint,omitempty"`
	Buckets     []uint64 `cbor:"5,keyasint,omitempty"`
}

// pack converts counts to their wire form.
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

// unpack is the inverse of pack. It ignores buckets out of range.
func unpack(r RouteCounts) Counts {
	c := Counts{Runs: r.Runs, Failures: r.Failures}
	for i, n := range r.Buckets {
		if at := r.FirstBucket + i; at >= 0 && at < bucketCount {
			c.Buckets[at] = n
		}
	}
	return c
}

// Report is sent by a gate to the analyzers of its service's rollout.
type Report struct {
	Service     string `cbor:"1,keyasint"`
	StartConfig uint64 `cbor:"2,keyasint"`
	// Reporter and Incarnation identify the counting process.
	Reporter    string        `cbor:"3,keyasint"`
	Incarnation uint64        `cbor:"4,keyasint"`
	Version     string        `cbor:"5,keyasint"`
	Routes      []RouteCounts `cbor:"6,keyasint,omitempty"`
	// HardFailure describes a failure that needs no statistics, such as a
	// streak of failed calls. It is empty if there is none.
	HardFailure string `cbor:"7,keyasint,omitempty"`
	// HardFailureRoute is the route on which HardFailure was detected.
	HardFailureRoute string `cbor:"8,keyasint,omitempty"`
}

// SlowThreshold is the duration above which a run on one route counts as slow.
type SlowThreshold struct {
	Route    string        `cbor:"1,keyasint"`
	Duration time.Duration `cbor:"2,keyasint"`
}
