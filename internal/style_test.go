package internal_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode"
)

// Limits for finished packages (docs/design/style.md).
const (
	maxFileLines     = 400
	maxFunctionLines = 60
	maxColumns       = 140 // a tab counts as four columns
	longFunctionMark = "Long because"
)

// withdrawnNames are identifiers that must not be used (docs/glossary.md); readers asked to replace them. withdrawnWords and
// withdrawnPairs must not be part of an identifier either. String literals and struct tags are not checked: there, a wire format or a
// settings key may require such a word.
var (
	withdrawnNames = set("say", "word", "book", "spare", "room", "blind", "keeping", "far", "cold", "homes", "sin", "kept", "held",
		"pace", "trusted", "judge", "late", "rested")
	withdrawnWords = set("believer", "belief", "believed", "told", "asker", "lobby", "hurry", "ledger", "rhythm", "beat", "farewell",
		"hangup", "spt", "roomy", "strain", "badday", "knownred", "rescue", "flowing", "handover", "standin", "virtualfleet", "brain",
		"freed")
	withdrawnPairs = set("let go", "turn away", "turned away", "come back", "weigh homes", "cold room", "hand over", "bad day",
		"stand in", "called off", "last word")
)

func set(names ...string) map[string]bool {
	m := map[string]bool{}
	for _, name := range names {
		m[name] = true
	}
	return m
}

// finishedPackages returns the directories listed in .ci/finished, which are one per line and relative to the root.
func finishedPackages(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../.ci/finished")
	if err != nil {
		t.Fatal(err)
	}
	var dirs []string
	for _, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			dirs = append(dirs, filepath.Join("..", line))
		}
	}
	if len(dirs) == 0 {
		t.Fatal("no package is listed as finished")
	}
	return dirs
}

func TestFinishedPackagesKeepTheBounds(t *testing.T) {
	for _, dir := range finishedPackages(t) {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: no Go files (%v)", dir, err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, problem := range styleProblems(t, file, string(text)) {
				t.Error(problem)
			}
		}
	}
}

// styleProblems returns the violations of the limits in a file. The lengths of files and functions are not limited in tests, because
// tables of test cases may be longer.
func styleProblems(t *testing.T, file, text string) []string {
	t.Helper()
	var problems []string
	isTest := strings.HasSuffix(file, "_test.go")
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) > maxFileLines && !isTest {
		problems = append(problems, fmt.Sprintf("%s has %d lines; the limit is %d", file, len(lines), maxFileLines))
	}
	for i, line := range lines {
		if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > maxColumns {
			problems = append(problems, fmt.Sprintf("%s:%d has %d columns; the limit is %d", file, i+1, n, maxColumns))
		}
	}
	fset := token.NewFileSet()
	parsed, err := parser.ParseFile(fset, file, text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range parsed.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || isTest {
			continue
		}
		n := fset.Position(f.End()).Line - fset.Position(f.Pos()).Line + 1
		if n > maxFunctionLines && !strings.Contains(f.Doc.Text(), longFunctionMark) {
			problems = append(problems, fmt.Sprintf("%s: %s has %d lines; the limit is %d", file, f.Name.Name, n, maxFunctionLines))
		}
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		if id, ok := n.(*ast.Ident); ok {
			if why := withdrawn(id.Name); why != "" {
				problems = append(problems,
					fmt.Sprintf("%s: %s: %s is withdrawn (docs/glossary.md)", fset.Position(id.Pos()), id.Name, why))
			}
		}
		return true
	})
	return problems
}

// withdrawn returns the part of an identifier that must not be used; "" = none.
func withdrawn(identifier string) string {
	if withdrawnNames[strings.ToLower(identifier)] {
		return identifier
	}
	words := wordsOf(identifier)
	for i, word := range words {
		if withdrawnWords[word] {
			return word
		}
		if i > 0 && withdrawnPairs[words[i-1]+" "+word] {
			return words[i-1] + " " + word
		}
	}
	return ""
}

// wordsOf splits an identifier in camel case or with underscores into its words, in lower case.
func wordsOf(identifier string) []string {
	var words []string
	begin := 0
	runes := []rune(identifier)
	cut := func(end int) {
		if end > begin {
			words = append(words, strings.ToLower(string(runes[begin:end])))
		}
		begin = end
	}
	for i, r := range runes {
		switch {
		case r == '_':
			cut(i)
			begin = i + 1
		case unicode.IsUpper(r) && i > 0 && (!unicode.IsUpper(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1])):
			cut(i)
		}
	}
	cut(len(runes))
	return words
}

func TestWithdrawnNamesAreFound(t *testing.T) {
	for _, c := range []struct {
		identifier string
		found      bool
	}{
		{"letGo", true}, {"LetGoBy", true}, {"weighHomes", true}, {"spt", true}, {"Believer", true}, {"newAsker", true},
		{"turnedAway", true},
		{"book", true}, {"bookkeeping", false}, {"releaseState", false}, {"HTTPServer", false}, {"spareCapacity", false}, {"reader", false},
		{"sinceReport", false}, {"coldRoom", true}, {"RejectionQueue", false}, {"timeout", false},
	} {
		if got := withdrawn(c.identifier) != ""; got != c.found {
			t.Errorf("%s: withdrawn %v, want %v", c.identifier, got, c.found)
		}
	}
}

// Files that each exceed one limit must be reported for it.
func TestStyleProblemsAreReported(t *testing.T) {
	long := "package p\n\nfunc f() {\n" + strings.Repeat("\tg()\n", maxFunctionLines) + "}\n\nfunc g() {}\n"
	for _, c := range []struct {
		name, file, text, want string
	}{
		{"long function", "p.go", long, "f has 62 lines"},
		{"long function with a reason", "p.go", strings.Replace(long, "func f", "// f is one table. Long because it is.\nfunc f", 1), ""},
		{"long function of a test", "p_test.go", long, ""},
		{"long file", "p.go", "package p\n" + strings.Repeat("\n", maxFileLines), "401 lines"},
		{"wide line", "p_test.go", "package p\n\n// " + strings.Repeat("x", maxColumns) + "\n", "143 columns"},
		{"withdrawn name", "p.go", "package p\n\nvar lobby int\n", "lobby is withdrawn"},
		{"nothing", "p.go", "package p\n\nvar queue int\n", ""},
	} {
		got := strings.Join(styleProblems(t, c.file, c.text), "\n")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
