//go:build race

package idempotency

const raceDetector = true
