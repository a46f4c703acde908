//go:build !race

package integration

// raceEnabled reports whether the tests, and so the programs, run with the race detector.
const raceEnabled = false
