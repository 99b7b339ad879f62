package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// most is how many tests may be listed.
const most = 3

// line is one line of KNOWN-RED.txt: PACKAGE.TEST; CAUSE; ISSUE.
type line struct{ test, cause, issue string }

func (l line) String() string { return l.test + "; " + l.cause + "; " + l.issue }

// parse reads KNOWN-RED.txt. Empty lines count for nothing.
func parse(text string) (known []line, err error) {
	for _, s := range strings.Split(text, "\n") {
		if s = strings.TrimSpace(s); s == "" {
			continue
		}
		f := strings.Split(s, ";")
		if len(f) != 3 {
			return nil, fmt.Errorf("%q is not TEST; CAUSE; ISSUE", s)
		}
		l := line{strings.TrimSpace(f[0]), strings.TrimSpace(f[1]), strings.TrimSpace(f[2])}
		if l.test == "" || l.cause == "" || l.issue == "" {
			return nil, fmt.Errorf("%q lacks a test, a cause or an issue", s)
		}
		known = append(known, l)
	}
	if len(known) > most {
		return nil, fmt.Errorf("%d lines; %d are the most", len(known), most)
	}
	return known, nil
}

// event is one line of `go test -json`.
type event struct {
	Action, Package, Test, Output string
	ImportPath                    string // of build output
}

// results is what a run of tests came to. Tests are named PACKAGE.TEST.
type results struct {
	ends     map[string]string // by test: pass, fail, skip, or "" of one that did not end
	packages map[string]string
	other    []string // output that is none of a test's, such as a compiler's
	passed   int
}

// read takes events up to the end, and passes on what a person would see of `go test`: the ends of packages, and all that a
// test which failed has said.
func read(r io.Reader, out io.Writer) (*results, error) {
	res := &results{ends: map[string]string{}, packages: map[string]string{}}
	said := map[string][]string{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Fprintln(out, lines.Text())
			res.other = append(res.other, lines.Text())
			continue
		}
		name := e.Package
		if e.Test != "" {
			name += "." + e.Test
		}
		switch e.Action {
		case "build-output":
			fmt.Fprint(out, e.Output)
		case "build-fail":
			res.packages[e.ImportPath] = "fail"
		case "start":
			res.packages[e.Package] = ""
		case "run":
			res.ends[name] = ""
		case "output":
			said[name] = append(said[name], e.Output)
		case "pass", "fail", "skip":
			if e.Test == "" {
				res.packages[e.Package] = e.Action
			} else {
				res.ends[name] = e.Action
			}
			if e.Action == "pass" && e.Test != "" {
				res.passed++
			}
			if e.Action == "fail" || e.Test == "" {
				for _, s := range said[name] {
					if s != "PASS\n" {
						fmt.Fprint(out, s)
					}
				}
			}
			delete(said, name)
		}
	}
	return res, lines.Err()
}

// judge says what is wrong with a run; nothing = it passes.
func (r *results) judge(known []line) (bad []string) {
	listed := map[string]bool{}
	for _, k := range known {
		listed[k.test] = true
		if end, ran := r.ends[k.test]; !ran {
			bad = append(bad, k.test+" is listed but was not run")
		} else if end != "fail" {
			bad = append(bad, k.test+" is listed but did not fail ("+end+"): take its line out")
		}
	}
	excused := map[string]bool{} // packages of which a listed test failed
	for name, end := range r.ends {
		switch {
		case end == "":
			bad = append(bad, name+" did not end")
		case end != "fail":
		case listed[name] || r.onlyListedBelow(name, listed):
			pkg, _, _ := strings.Cut(name, ".Test")
			excused[pkg] = true
		default:
			bad = append(bad, name)
		}
	}
	for pkg, end := range r.packages {
		if end == "" || end == "fail" && !excused[pkg] {
			bad = append(bad, "package "+pkg+" ("+end+")")
		}
	}
	if r.passed == 0 {
		bad = append(bad, "no test passed")
	}
	if len(r.other) > 0 {
		bad = append(bad, fmt.Sprintf("%d lines that are no results, such as %q", len(r.other), r.other[0]))
	}
	slices.Sort(bad)
	return bad
}

// onlyListedBelow tells whether a test failed by its subtests alone, as far as can be told: some of them failed, and all that
// did are listed or have failed for such.
func (r *results) onlyListedBelow(name string, listed map[string]bool) bool {
	some := false
	for sub, end := range r.ends {
		if end == "fail" && strings.HasPrefix(sub, name+"/") {
			if !listed[sub] && !r.onlyListedBelow(sub, listed) {
				return false
			}
			some = true
		}
	}
	return some
}
