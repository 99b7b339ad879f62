//go:build race

package node_test

// raceEnabled tells that the race detector runs, which makes a day some ten times as long.
const raceEnabled = true
