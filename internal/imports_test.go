package internal_test

import (
	"os/exec"
	"strings"
	"testing"
)

// importRules are the imports that the package structure forbids (docs/design/node.md). A name that ends in a slash stands for all packages
// below it, and any other name for one package. Of the node's packages only http1 may import net/http, for its constants of status texts.
var importRules = []struct{ importer, forbidden, reason string }{
	{"dillroute/scheduler", "dillroute/", "the scheduler is also used in other hosts and does not depend on this one"},
	{"dillroute/internal/decide/", "net", "decision modules do no I/O"},
	{"dillroute/internal/decide/", "os", "decision modules do no I/O"},
	{"dillroute/internal/decide/", "time", "decision modules read no clock; durations are seconds"},
	{"dillroute/internal/decide/", "math/rand", "decision modules use no global random source"},
	{"dillroute/scheduler", "net", "decision modules do no I/O"},
	{"dillroute/scheduler", "os", "decision modules do no I/O"},
	{"dillroute/scheduler", "time", "decision modules read no clock; durations are seconds"},
	{"dillroute/internal/decide/", "dillroute/internal/node", "decision modules do not depend on their host"},
	{"dillroute/internal/http1", "dillroute/", "the HTTP package does not depend on routing"},
	{"dillroute/internal/front", "dillroute/internal/node", "response shapes do not depend on the host"},
	{"dillroute/internal/engine", "dillroute/internal/node", "the engine client does not depend on the host"},
	{"dillroute/internal/protocol", "dillroute/internal/node", "code shared by protocols does not depend on the host"},
	{"dillroute/internal/protocol", "dillroute/internal/relay", "code shared by protocols depends on none of them"},
	{"dillroute/internal/protocol", "dillroute/internal/openai", "code shared by protocols depends on none of them"},
	{"dillroute/internal/relay", "dillroute/internal/node", "a protocol does not depend on the host"},
	{"dillroute/internal/relay", "dillroute/internal/openai", "protocols do not depend on each other"},
	{"dillroute/internal/relay", "dillroute/internal/front", "protocols do not depend on each other"},
	{"dillroute/internal/relay", "dillroute/internal/engine", "protocols do not depend on each other"},
	{"dillroute/internal/relay", "net/http", "the users require net and net/textproto in the node"},
	{"dillroute/internal/relay", "dillroute/lab/", "the product does not depend on the lab"},
	{"dillroute/internal/openai", "dillroute/internal/node", "a protocol does not depend on the host"},
	{"dillroute/internal/openai", "dillroute/internal/relay", "protocols do not depend on each other"},
	{"dillroute/internal/openai", "net/http", "the users require net and net/textproto in the node"},
	{"dillroute/internal/settings", "net", "settings are parsed from text and need no network"},
	{"dillroute/lab/platform", "dillroute/internal/", "emulators communicate with the product only over sockets"},
	{"dillroute/internal/node", "net/http", "the users require net and net/textproto in the node"},
	{"dillroute/internal/engine", "net/http", "the users require net and net/textproto in the node"},
	{"dillroute/internal/node", "os/exec", "a node is a single process"},
	{"dillroute/internal/relay", "os/exec", "a node is a single process"},
	{"dillroute/internal/http1", "os/exec", "a node is a single process"},
	{"dillroute/internal/node", "dillroute/lab/", "the product does not depend on the lab"},
	{"dillroute/internal/engine", "dillroute/lab/", "the product does not depend on the lab"},
	{"dillroute/internal/config", "dillroute/lab/", "the product does not depend on the lab"},
	{"dillroute/lab/rules", "dillroute/internal/", "the rule checker shares no code with what it checks"},
	{"dillroute/lab/record", "dillroute/internal/", "the rule checker shares no code with what it checks"},
	{"dillroute/lab/emulator", "dillroute/internal/", "emulators communicate with the product only over sockets"},
	{"dillroute/lab/client", "dillroute/internal/", "clients communicate with the product only over sockets"},
	{"dillroute/lab/scenario", "dillroute/internal/node", "a scenario starts nodes only through the Launch function that it is given"},
}

func TestForbiddenImports(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`, "dillroute/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	within := func(path, rule string) bool {
		return path == rule || strings.HasPrefix(path, strings.TrimSuffix(rule, "/")+"/") && strings.HasSuffix(rule, "/")
	}
	seen := 0
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		f := strings.Fields(line)
		for _, a := range importRules {
			if !within(f[0], a.importer) {
				continue
			}
			seen++
			for _, imp := range f[1:] {
				if within(imp, a.forbidden) {
					t.Errorf("%s imports %s: %s", f[0], imp, a.reason)
				}
			}
		}
	}
	if seen < len(importRules) {
		t.Fatalf("only %d pairs of a package and a rule were found, fewer than there are rules", seen)
	}
}
