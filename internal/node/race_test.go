//go:build race

package node_test

// raceEnabled reports whether the race detector is enabled. A simulated scenario takes about ten times as long with it.
const raceEnabled = true
