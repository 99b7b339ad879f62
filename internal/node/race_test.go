//go:build race

package node_test

// raceEnabled reports whether the race detector is enabled, with which a simulated scenario takes about ten times as long.
const raceEnabled = true
