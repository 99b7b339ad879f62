package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// declaredNames are the functions, methods and types that the module declares: tests by name, and all others as package.Name or
// package.Type.Method.
type declaredNames struct{ code, tests map[string]bool }

// readDeclaredNames returns the names that are declared in the Go files of the module.
func readDeclaredNames(t *testing.T) declaredNames {
	t.Helper()
	names := declaredNames{code: map[string]bool{}, tests: map[string]bool{}}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		names.add(file, strings.HasSuffix(path, "_test.go"))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func (n declaredNames) add(file *ast.File, isTest bool) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if isTest && d.Recv == nil {
				n.tests[d.Name.Name] = true
			}
			n.code[file.Name.Name+"."+receiverPrefix(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if s, ok := spec.(*ast.TypeSpec); ok {
					n.code[file.Name.Name+"."+s.Name.Name] = true
				}
			}
		}
	}
}

// receiverPrefix returns the receiver's type and a dot; "" for a function.
func receiverPrefix(f *ast.FuncDecl) string {
	if f.Recv == nil || len(f.Recv.List) == 0 {
		return ""
	}
	receiver := f.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// checkedPages are pages in which each package.Name and each test in backquotes must exist.
var checkedPages = []string{"../docs/architecture.md", "../docs/design/endings.md"}

func TestPagesNameCodeThatExists(t *testing.T) {
	names := readDeclaredNames(t)
	codeName := regexp.MustCompile("`([a-z][a-z0-9]*\\.\\w+(?:\\.\\w+)?)`")
	testName := regexp.MustCompile("`(Test\\w+)`")
	for _, page := range checkedPages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		for _, match := range codeName.FindAllStringSubmatch(string(text), -1) {
			if strings.HasSuffix(match[1], ".json") || strings.HasSuffix(match[1], ".go") {
				continue
			}
			found++
			if !names.code[match[1]] {
				t.Errorf("%s names %s, which does not exist", page, match[1])
			}
		}
		for _, match := range testName.FindAllStringSubmatch(string(text), -1) {
			found++
			if !names.tests[match[1]] {
				t.Errorf("%s names %s, which does not exist", page, match[1])
			}
		}
		if found == 0 {
			t.Errorf("%s names no code", page)
		}
	}
}

// For each of the five rules, the page must name the code that decides it and a test that fails without it.
func TestArchitectureNamesATestForEachRule(t *testing.T) {
	text, err := os.ReadFile("../docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := regexp.MustCompile(`(?m)^\| [1-5]: .*$`).FindAllString(string(text), -1)
	if len(rows) != 5 {
		t.Fatalf("got %d rows of rules, want 5", len(rows))
	}
	for _, row := range rows {
		if !strings.Contains(row, "`Test") || !regexp.MustCompile("`(scheduler|permit|requesttable)\\.").MatchString(row) {
			t.Errorf("the row lacks a test or the code that decides: %s", row)
		}
	}
}
