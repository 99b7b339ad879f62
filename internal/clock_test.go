package internal_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallClockNumber matches conversions of a wall-clock time to a number. A duration measured by such numbers changes when the wall clock is
// stepped.
var wallClockNumber = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)`)

// Durations must be measured by the monotonic clock, so only one place outside the lab may convert the wall clock to a number.
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
				if wallClockNumber.MatchString(line) && path != filepath.Join("..", "internal", "clock", "clock.go") {
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
		t.Fatalf("only %d files were checked", looked)
	}
}
