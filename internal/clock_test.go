package internal_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// dayTime is the time of day as a number: what is measured by it changes when the wall clock is stepped.
var dayTime = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)`)

// Spans are measured by the monotonic clock: the product turns the time of day into a number in one place alone.
func TestSpansAreNotMeasuredByTheWallClock(t *testing.T) {
	looked := 0
	for _, root := range []string{"../scheduler", "../internal", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			looked++
			for i, line := range strings.Split(string(text), "\n") {
				if dayTime.MatchString(line) && path != filepath.Join("..", "internal", "clock", "clock.go") {
					t.Errorf("%s:%d: %s", path, i+1, strings.TrimSpace(line))
				}
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if looked < 50 {
		t.Fatalf("only %d files were looked at", looked)
	}
}
