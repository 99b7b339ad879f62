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

// Bounds on the shape of the module's files.
const (
	maxFileLines     = 400
	maxFileColumns   = 140
	maxFunctionLines = 60
	tabColumns       = 4
)

// interfaceAndStateFiles are the files of the module that decide nothing: its interface and the types of its state.
var interfaceAndStateFiles = []string{"doc.go", "config.go", "events.go", "actions.go", "validate.go", "request.go", "engine.go"}

// policyFiles returns the names that `policy` of the deploy file lists, without their directory.
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
			t.Errorf("policy lists %q, which is not in scheduler/ or stands twice", quoted[1])
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

// Each file of the module is a policy file that the deploy file names, or one of the few that decide nothing, and not both.
func TestEveryFileIsPolicyOrInterfaceOrState(t *testing.T) {
	policy := policyFiles(t)
	known := map[string]bool{}
	for name := range policy {
		known[name] = true
	}
	for _, name := range interfaceAndStateFiles {
		if policy[name] {
			t.Errorf("%s is listed as policy and as interface or state", name)
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
		t.Errorf("%s is listed and does not exist", name)
	}
}

// Each file keeps the bounds on lines and columns, and each function that on lines.
func TestModuleSize(t *testing.T) {
	for _, file := range moduleFiles(t) {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(source), "\n"), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s has %d lines, want %d at most", file, len(lines), maxFileLines)
		}
		for i, line := range lines {
			if n := len([]rune(strings.ReplaceAll(line, "\t", strings.Repeat(" ", tabColumns)))); n > maxFileColumns {
				t.Errorf("%s:%d has %d columns, want %d at most", file, i+1, n, maxFileColumns)
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
			t.Errorf("%s:%d: %s has %d lines, want %d at most", file, first, function.Name.Name, n, maxFunctionLines)
		}
	}
}
