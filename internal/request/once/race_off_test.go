//go:build !race

package once

const raceDetector = false
