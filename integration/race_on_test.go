//go:build race

package integration

// raceEnabled reports whether the tests, and thus the programs, use the race detector.
const raceEnabled = true
