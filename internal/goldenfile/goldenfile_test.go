package goldenfile

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// recorder is a test that records its failure.
type recorder struct {
	testing.TB
	failure string
}

func (r *recorder) Helper() {}
func (r *recorder) Fatal(args ...any) {
	r.failure = fmt.Sprint(args...)
	runtime.Goexit()
}
func (r *recorder) Fatalf(format string, args ...any) { r.Fatal(fmt.Sprintf(format, args...)) }

// compare returns the failure of a comparison; "" = the texts are equal.
func compare(t *testing.T, name, got string) string {
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		Compare(r, name, got, "(note)")
	}()
	<-done
	return r.failure
}

// A comparison must fail at any difference: a changed line, a missing one, one too many, a missing file.
func TestCompareReportsTheFirstDifference(t *testing.T) {
	const same = "=== a\none\n=== b\ntwo\n"
	if failure := compare(t, "sections", same); failure != "" {
		t.Errorf("got %q for the same text", failure)
	}
	for _, c := range []struct{ name, text, want string }{
		{"sections", "=== a\none\n=== b\nthree\n", "sections.txt:4 differs, section \"=== b\" (note)\nwant two\ngot  three"},
		{"sections", "=== a\none\n", "sections.txt:3 differs, section \"=== b\" (note)\nwant === b\ngot  "},
		{"sections", same + "four", "sections.txt:5 differs, section \"=== b\" (note)\nwant \ngot  four"},
		{"sections", same + "\n", "sections.txt:6 differs, section \"=== b\" (note)\nwant (no line)\ngot  "},
		{"absent", same, "absent.txt"},
	} {
		if failure := compare(t, c.name, c.text); !strings.Contains(failure, c.want) {
			t.Errorf("%s, %q: got %q, want %q", c.name, c.text, failure, c.want)
		}
	}
}
