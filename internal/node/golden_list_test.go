package node_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// tapList starts a tap in front of each engine of a list file, adds them to taps, and returns the path of a list with the addresses of the
// taps.
func tapList(t *testing.T, file string, taps goldenTaps) string {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var list map[string]any
	if err := json.Unmarshal(content, &list); err != nil {
		t.Fatal(err)
	}
	for _, e := range list["engines"].([]any) {
		entry := e.(map[string]any)
		tap := newGoldenTap(t, strings.TrimPrefix(entry["address"].(string), "http://"))
		taps[entry["id"].(string)] = tap
		entry["address"] = tap.addr()
	}
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	out := filepath.Join(t.TempDir(), "tapped.json")
	if err := os.WriteFile(out, text, 0o644); err != nil {
		t.Fatal(err)
	}
	return out
}
