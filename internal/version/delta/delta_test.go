package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func sampleText(lines int, changed ...int) []byte {
	var b strings.Builder
	for i := range lines {
		value := i * 7919
		for _, c := range changed {
			if c == i {
				value = -1
			}
		}
		fmt.Fprintf(&b, `{"name":"route-%d","match":{"prefix":"/p%d"},"service":"s%d"},`, i, i, value)
	}
	return []byte(b.String())
}

func TestDeltaOfFewChangesIsSmall(t *testing.T) {
	base, next := sampleText(400), sampleText(400, 3, 200, 399)
	d := Encode(base, next)
	// Three changes, each with a step and at most one block on either side.
	if limit := 4 * (2*blockBytes + 16); len(d) > limit {
		t.Errorf("%d bytes for three changes, want at most %d", len(d), limit)
	}
	got, err := Apply(base, d)
	if err != nil || !bytes.Equal(got, next) {
		t.Errorf("reconstructed text differs: %v", err)
	}
}

func TestApplyReconstructsText(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		base, next := sampleText(rng.IntN(30), rng.IntN(30)), sampleText(rng.IntN(30), rng.IntN(30))
		got, err := Apply(base, Encode(base, next))
		if err != nil || !bytes.Equal(got, next) {
			t.Errorf("seed %d: reconstructed text differs: %v", seed, err)
		}
	}
}

func FuzzApply(f *testing.F) {
	base := sampleText(10)
	f.Add(Encode(base, sampleText(10, 4)))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, d []byte) {
		if out, err := Apply(base, d); err == nil && len(out) > MaxBytes {
			t.Errorf("text of %d bytes exceeds MaxBytes", len(out))
		}
	})
}
