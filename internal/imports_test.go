package internal_test

import (
	"os/exec"
	"strings"
	"testing"
)

// The arrows between packages run one way (docs/design/node.md). Each line: who, whom they may not import, and why.
var arrows = []struct{ from, to, why string }{
	{"dillroute/scheduler", "dillroute/", "the module is carried to other hosts: it needs nothing of this one"},
	{"dillroute/internal/decide/", "net", "decision modules do no I/O"},
	{"dillroute/internal/decide/", "os", "decision modules do no I/O"},
	{"dillroute/internal/decide/", "time", "decision modules read no clock; durations are seconds"},
	{"dillroute/internal/decide/", "math/rand", "decision modules have no global source of chance"},
	{"dillroute/scheduler", "net", "decision modules do no I/O"},
	{"dillroute/scheduler", "os", "decision modules do no I/O"},
	{"dillroute/scheduler", "time", "decision modules read no clock; durations are seconds"},
	{"dillroute/internal/decide/", "dillroute/internal/node", "decisions do not know their host"},
	{"dillroute/internal/http1", "dillroute/", "HTTP knows nothing of routing"},
	{"dillroute/internal/front", "dillroute/internal/node", "shapes do not know the host"},
	{"dillroute/internal/engine", "dillroute/internal/node", "the engine client does not know the host"},
	{"dillroute/internal/protocol", "dillroute/internal/node", "what protocols share does not know the host"},
	{"dillroute/internal/protocol", "dillroute/internal/relay", "what protocols share knows none of them"},
	{"dillroute/internal/protocol", "dillroute/internal/openai", "what protocols share knows none of them"},
	{"dillroute/internal/relay", "dillroute/internal/node", "a protocol does not know the host"},
	{"dillroute/internal/relay", "dillroute/internal/openai", "one protocol does not know another"},
	{"dillroute/internal/relay", "dillroute/internal/front", "one protocol does not know another"},
	{"dillroute/internal/relay", "dillroute/internal/engine", "one protocol does not know another"},
	{"dillroute/internal/relay", "net/http", "the users ask for net and net/textproto in the node"},
	{"dillroute/internal/relay", "dillroute/lab/", "the product does not need its laboratory"},
	{"dillroute/internal/openai", "dillroute/internal/node", "a protocol does not know the host"},
	{"dillroute/internal/openai", "dillroute/internal/relay", "one protocol does not know another"},
	{"dillroute/internal/openai", "net/http", "the users ask for net and net/textproto in the node"},
	{"dillroute/internal/settings", "net", "settings are text"},
	{"dillroute/lab/platform", "dillroute/internal/", "stand-ins meet the product on sockets alone"},
	{"dillroute/internal/node", "net/http", "the users ask for net and net/textproto in the node"},
	{"dillroute/internal/engine", "net/http", "the users ask for net and net/textproto in the node"},
	{"dillroute/internal/node", "os/exec", "a node in service is one process"},
	{"dillroute/internal/relay", "os/exec", "a node in service is one process"},
	{"dillroute/internal/http1", "os/exec", "a node in service is one process"},
	{"dillroute/internal/node", "dillroute/lab/", "the product does not need its laboratory"},
	{"dillroute/internal/engine", "dillroute/lab/", "the product does not need its laboratory"},
	{"dillroute/internal/config", "dillroute/lab/", "the product does not need its laboratory"},
	{"dillroute/lab/rules", "dillroute/internal/", "the checker shares no code with what it judges"},
	{"dillroute/lab/record", "dillroute/internal/", "the checker shares no code with what it judges"},
	{"dillroute/lab/emulator", "dillroute/internal/", "stand-ins meet the product on sockets alone"},
	{"dillroute/lab/client", "dillroute/internal/", "clients meet the product on sockets alone"},
	{"dillroute/lab/scenario", "dillroute/internal/node", "the day starts nodes through what it is given"},
}

func TestArrowsRunOneWay(t *testing.T) {
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
		for _, a := range arrows {
			if !within(f[0], a.from) {
				continue
			}
			seen++
			for _, imp := range f[1:] {
				// Constants of net/http are allowed where status texts are needed: in http1 alone.
				if within(imp, a.to) {
					t.Errorf("%s imports %s: %s", f[0], imp, a.why)
				}
			}
		}
	}
	if seen < len(arrows) {
		t.Fatalf("only %d of the arrows met a package", seen)
	}
}
