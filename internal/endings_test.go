package internal_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each test that docs/design/endings.md names must exist, and each row of its table must name one.
func TestEndingsNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile("../docs/design/endings.md")
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]bool{}
	declared := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declared.FindAllSubmatch(text, -1) {
			tests[string(m[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile("`(Test\\w+)`")
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| event ") || strings.HasPrefix(line, "| --- ") {
			continue
		}
		rows++
		names := named.FindAllStringSubmatch(line, -1)
		if len(names) == 0 {
			t.Errorf("the row names no test: %s", line)
		}
		for _, m := range names {
			if !tests[m[1]] {
				t.Errorf("%s does not exist, but is named in: %s", m[1], line)
			}
		}
	}
	if rows == 0 {
		t.Error("the table was not found")
	}
}
