package delta

import (
	"bytes"
	"testing"
)

func TestCompressedTextIsRestored(t *testing.T) {
	for _, n := range []int{0, 1, 40_000, MaxBytes} {
		text := bytes.Repeat([]byte("route "), n/6+1)[:n]
		packed, err := Compress(text)
		if err != nil {
			t.Fatal(err)
		}
		out, err := Decompress(packed)
		if err != nil || !bytes.Equal(out, text) {
			t.Errorf("%d bytes: %d restored, error %v", n, len(out), err)
		}
		if n == 40_000 && len(packed) > n/10 {
			t.Errorf("%d bytes are %d compressed", n, len(packed))
		}
	}
}

// A small message may expand to far more than a configuration's size; it must be
// refused, not built up in memory.
func TestCompressedTextBeyondTheLimitIsRefused(t *testing.T) {
	packed, err := Compress(make([]byte, 100*MaxBytes))
	if err != nil {
		t.Fatal(err)
	}
	if out, err := Decompress(packed); err == nil {
		t.Errorf("%d compressed bytes gave %d bytes", len(packed), len(out))
	}
	for _, malformed := range [][]byte{{0xff}, []byte("not compressed")} {
		if out, err := Decompress(malformed); err == nil {
			t.Errorf("%q gave %q", malformed, out)
		}
	}
}
