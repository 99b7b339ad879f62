package main

import (
	"io"
	"strings"
	"testing"
)

const run = `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"run","Package":"p","Test":"TestB/x"}
{"Action":"output","Package":"p","Test":"TestB/x","Output":"it broke\n"}
{"Action":"fail","Package":"p","Test":"TestB/x"}
{"Action":"fail","Package":"p","Test":"TestB"}
{"Action":"fail","Package":"p"}
`

// Each row is a run and a list that must fail, for the reason given; "" = it must pass.
func TestWhatARunComesTo(t *testing.T) {
	green := strings.NewReplacer(`"fail"`, `"pass"`).Replace(run)
	for _, c := range []struct{ name, run, list, says string }{
		{"all pass", green, "", ""},
		{"a failure that is not listed", run, "", "p.TestB/x"},
		{"the same, listed", run, "p.TestB/x; it breaks; 27", ""},
		{"its parent listed alone", run, "p.TestB; it breaks; 27", "p.TestB/x"},
		{"one listed, another fails too", strings.Replace(run, `"pass","Package":"p","Test":"TestA"`, `"fail","Package":"p","Test":"TestA"`, 1) +
			`{"Action":"pass","Package":"p","Test":"TestC"}`, "p.TestB/x; it breaks; 27", "p.TestA"},
		{"listed but passes again", green, "p.TestB/x; it broke; 27", "did not fail"},
		{"listed but not run", green, "p.TestZ; it broke; 27", "was not run"},
		{"a test that did not end", strings.Replace(green, `{"Action":"pass","Package":"p","Test":"TestA"}`, "", 1), "", "did not end"},
		{"a package that did not end", green + `{"Action":"start","Package":"q"}`, "", "package q"},
		{"a package that fails without a test", green + `{"Action":"start","Package":"q"}` + "\n" + `{"Action":"fail","Package":"q"}`, "", "package q"},
		{"a package that does not build", green + `{"Action":"build-fail","ImportPath":"q [q.test]"}`, "", "package q"},
		{"no test at all", "", "", "no test passed"},
		{"output of something else", green + "killed\n", "", "no results"},
	} {
		known, err := parse(c.list)
		if err != nil {
			t.Fatal(err)
		}
		res, err := read(strings.NewReader(c.run), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		bad := strings.Join(res.judge(known), "\n")
		if c.says == "" && bad != "" || c.says != "" && !strings.Contains(bad, c.says) {
			t.Errorf("%s: %q, wanted %q", c.name, bad, c.says)
		}
	}
}

func TestListsThatCannotBe(t *testing.T) {
	for name, text := range map[string]string{
		"a fourth line": strings.Repeat("p.TestB; it breaks; 27\n", 4), "no cause": "p.TestB; ; 27", "no issue": "p.TestB; it breaks", "prose": "see 27",
	} {
		if _, err := parse(text); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if known, err := parse("\np.TestB; it breaks; 27\n\n"); err != nil || len(known) != 1 {
		t.Errorf("%v, %v", known, err)
	}
}

func TestFailuresAreShownWithTheirOutput(t *testing.T) {
	var out strings.Builder
	if _, err := read(strings.NewReader(run), &out); err != nil || !strings.Contains(out.String(), "it broke") {
		t.Errorf("%q, %v", out.String(), err)
	}
}
