//go:build race

package node_test

// raceEnabled says that the race detector runs, which makes a day about ten times as long.
const raceEnabled = true
