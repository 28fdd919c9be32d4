package delta

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Compress returns a text in DEFLATE's format.
func Compress(text []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return out.Bytes(), nil
}

// Decompress returns the text of at most MaxBytes that Compress compressed.
func Decompress(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	out, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil || len(out) > MaxBytes {
		return nil, errMalformed()
	}
	return out, nil
}
