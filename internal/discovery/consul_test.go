package discovery

import (
	"strings"
	"testing"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/protocol"
	"dillroute/lab/emulator"
)

func instances(ids ...string) []emulator.Instance {
	var xs []emulator.Instance
	for _, id := range ids {
		xs = append(xs, emulator.Instance{ID: id, Address: "127.0.0.1:9", Meta: map[string]string{"kind": "p", "cell": "y", "zone": "zb"}})
	}
	return xs
}

// followListServer starts a list server with the given engines, follows it, and waits for the first list.
func followListServer(t *testing.T, ids ...string) (*emulator.ConsulServer, chan protocol.EndpointList, chan string) {
	t.Helper()
	s := emulator.NewConsulServer(100)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop() })
	s.SetInstances(instances(ids...))
	c := testParser(t).Config
	c.Engines = config.Engines{Consul: s.Address(), Service: "engines", MaxWait: 0.2}
	lists, problems, err := follow(t, c, "")
	if err != nil {
		t.Fatal(err)
	}
	awaitEngines(t, lists, strings.Join(ids, " "))
	return s, lists, problems
}

// awaitEngines reads lists until one contains exactly the given engines; a draining one is marked with "*".
func awaitEngines(t *testing.T, lists chan protocol.EndpointList, want string) protocol.EndpointList {
	t.Helper()
	got := ""
	for range 50 {
		l := receive(t, lists)
		var ids []string
		for _, e := range l.Engines {
			id := e.ID
			if e.State != 0 {
				id += "*"
			}
			ids = append(ids, id)
		}
		if got = strings.Join(ids, " "); got == want {
			return l
		}
	}
	t.Fatalf("the last list is %q, want %q", got, want)
	return protocol.EndpointList{}
}

func TestBlockingQueryDeliversChangesAtOnce(t *testing.T) {
	s, lists, _ := followListServer(t, "a", "b")
	s.SetInstances(instances("a", "b", "c"))
	l := awaitEngines(t, lists, "a b c")
	if e := l.Engines[2]; e.Zone != 1 || e.Kind != 0 || l.Addresses["c"] != "127.0.0.1:9" {
		t.Fatalf("engine c has an unexpected zone, kind or address: %+v", l)
	}
	xs := instances("a", "b", "c")
	xs[1].Critical = true
	s.SetInstances(xs)
	awaitEngines(t, lists, "a b* c")
}

func TestFaultyListServerKeepsPreviousList(t *testing.T) {
	for name, f := range map[string]emulator.ConsulFaults{"truncated": {Truncate: true}, "errors": {Errors: true},
		"no index": {NoIndex: true}, "malformed": {Malformed: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, lists, problems := followListServer(t, "a", "b")
			s.SetFaults(f)
			if text := receive(t, problems); !strings.Contains(text, "keeping the previous one") {
				t.Fatal(text)
			}
			select {
			case l := <-lists:
				t.Fatalf("a faulty response led to the list %+v", l)
			default:
			}
			s.SetFaults(emulator.ConsulFaults{})
			s.SetInstances(instances("a", "b", "d"))
			awaitEngines(t, lists, "a b d")
		})
	}
}

func TestHangingListServerTimesOut(t *testing.T) {
	s, lists, problems := followListServer(t, "a")
	s.SetFaults(emulator.ConsulFaults{Hang: true})
	if text := receive(t, problems); !strings.Contains(text, "timeout") {
		t.Fatal(text)
	}
	s.SetFaults(emulator.ConsulFaults{})
	s.SetInstances(instances("a", "b"))
	awaitEngines(t, lists, "a b")
}

func TestListServerIndexResetIsPolledFromStart(t *testing.T) {
	s, lists, problems := followListServer(t, "a", "b")
	s.ResetIndex(3)
	if text := receive(t, problems); !strings.Contains(text, "fell") {
		t.Fatal(text)
	}
	s.SetInstances(instances("a", "b", "c"))
	awaitEngines(t, lists, "a b c")
}

func TestEmptyListNeedsConfirmation(t *testing.T) {
	s, lists, _ := followListServer(t, "a", "b", "c", "d")
	s.SetFaults(emulator.ConsulFaults{Empty: true})
	start := time.Now()
	s.SetInstances(instances("a", "b", "c", "d", "e"))
	// The empty list is not applied before it is confirmed. The complete list arrives before that and takes precedence.
	s.SetFaults(emulator.ConsulFaults{})
	if l := awaitEngines(t, lists, "a b c d e"); len(l.Engines) == 0 || time.Since(start) > 15*time.Second {
		t.Fatal("the list was late or empty")
	}
}

func TestRestartedListServerIsPolledAgain(t *testing.T) {
	s, lists, problems := followListServer(t, "a")
	s.Stop()
	receive(t, problems)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	s.SetInstances(instances("a", "z"))
	awaitEngines(t, lists, "a z")
}
