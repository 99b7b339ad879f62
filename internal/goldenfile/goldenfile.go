// Package goldenfile compares the output of a test with a file of its package's testdata/golden. It serves tests alone.
package goldenfile

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the files under testdata/golden")

// sectionPrefix begins a line that names the section of the lines that follow it.
const sectionPrefix = "=== "

// Compare compares a text with the golden file of a name, and fails the test at the first line that differs. With -update it writes the
// file instead. The note explains the lines of the file; "" = they need no explanation.
func Compare(t testing.TB, name, got, note string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".txt")
	if *update {
		write(t, path, got)
		return
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(string(content), "\n"), strings.Split(got, "\n")
	section := ""
	for i := range max(len(wantLines), len(gotLines)) {
		wantLine, gotLine := lineAt(wantLines, i), lineAt(gotLines, i)
		if strings.HasPrefix(wantLine, sectionPrefix) {
			section = wantLine
		}
		if wantLine != gotLine {
			t.Fatalf("%s:%d differs, section %q %s\nwant %s\ngot  %s", path, i+1, section, note, wantLine, gotLine)
		}
	}
}

func write(t testing.TB, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// lineAt returns the line with an index, or a text that says that there is none.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}
