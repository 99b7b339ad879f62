package scheduler

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Size limits of the module's files and functions.
const (
	maxFileLines     = 400
	maxFileColumns   = 140
	maxFunctionLines = 60
	tabColumns       = 4
)

// interfaceAndStateFiles are the files of the module that contain no policy: its interface and the types of its state.
var interfaceAndStateFiles = []string{"doc.go", "config.go", "events.go", "actions.go", "validate.go", "request.go", "engine.go"}

// policyFiles returns the file names, without directory, that the `policy` key of the deploy file lists.
func policyFiles(t *testing.T) map[string]bool {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindSubmatch(deploy)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no line `policy = [...]`")
	}
	names := map[string]bool{}
	for _, quoted := range regexp.MustCompile(`"([^"]*)"`).FindAllSubmatch(line[1], -1) {
		name, ok := strings.CutPrefix(string(quoted[1]), "scheduler/")
		if !ok || names[name] {
			t.Errorf("policy lists %q, which is not in scheduler/ or is listed twice", quoted[1])
		}
		names[name] = true
	}
	return names
}

func moduleFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") {
			out = append(out, file)
		}
	}
	return out
}

// Each file of the module is either listed as policy in the deploy file or is one of interfaceAndStateFiles, and not both.
func TestEveryFileIsEitherPolicyOrInterfaceAndState(t *testing.T) {
	policy := policyFiles(t)
	known := map[string]bool{}
	for name := range policy {
		known[name] = true
	}
	for _, name := range interfaceAndStateFiles {
		if policy[name] {
			t.Errorf("%s is listed both as policy and in interfaceAndStateFiles", name)
		}
		known[name] = true
	}
	for _, file := range moduleFiles(t) {
		if !known[file] {
			t.Errorf("%s is neither in `policy` of deploy/balancer.toml nor in interfaceAndStateFiles", file)
		}
		delete(known, file)
	}
	for name := range known {
		t.Errorf("%s is listed but does not exist", name)
	}
}

// Files are within the limits on lines and columns, and functions within the limit on lines.
func TestFilesAndFunctionsAreWithinSizeLimits(t *testing.T) {
	for _, file := range moduleFiles(t) {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(source), "\n"), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s has %d lines, want at most %d", file, len(lines), maxFileLines)
		}
		for i, line := range lines {
			if n := len([]rune(strings.ReplaceAll(line, "\t", strings.Repeat(" ", tabColumns)))); n > maxFileColumns {
				t.Errorf("%s:%d has %d columns, want at most %d", file, i+1, n, maxFileColumns)
			}
		}
		checkFunctionLines(t, file, source)
	}
}

func checkFunctionLines(t *testing.T, file string, source []byte) {
	t.Helper()
	positions := token.NewFileSet()
	tree, err := parser.ParseFile(positions, file, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range tree.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		first, last := positions.Position(function.Pos()).Line, positions.Position(function.End()).Line
		if n := last - first + 1; n > maxFunctionLines {
			t.Errorf("%s:%d: %s has %d lines, want at most %d", file, first, function.Name.Name, n, maxFunctionLines)
		}
	}
}
