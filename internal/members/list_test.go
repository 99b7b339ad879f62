package members

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dillroute/brain"
	"dillroute/internal/config"
)

func parser(t *testing.T) *Parser {
	t.Helper()
	c, err := config.Parse([]byte(`{"listen":"127.0.0.1:0","node":{"name":"n"},"zones":["za","zb"],
 "kinds":[{"name":"p","role":"prefill"},{"name":"d","role":"decode"}],
 "classes":[{"name":"c","effect":"once","aim_s":1,"patience_s":5,"token_aim_s":0.06}],
 "models":[{"name":"m","class":"c"}],"tenants":[{"name":"t","keys":["long-enough"]}],"engines":{"file":"l.json"}}`))
	if err != nil {
		t.Fatal(err)
	}
	return &Parser{Config: c}
}

func TestListIsTakenWholeOrNotAtAll(t *testing.T) {
	p := parser(t)
	l, err := p.Parse([]byte(`{"engines":[{"id":"b","address":"127.0.0.1:2","kind":"d","cell":"x","zone":"zb","state":"draining","weight":0},
 {"id":"a","address":"127.0.0.1:1","kind":"p","cell":"y","boot_time":7}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []brain.Engine{{ID: "a", Kind: 0, Cell: 1, Weight: 1, BootTime: 7}, {ID: "b", Kind: 1, Zone: 1, State: brain.Draining}}
	if len(l.Engines) != 2 || l.Engines[0] != want[0] || l.Engines[1] != want[1] || l.Addresses["b"] != "127.0.0.1:2" {
		t.Fatalf("%+v", l)
	}
	_, err = p.Parse([]byte(`{"engines":[{"id":"a","address":"h:1","kind":"q"},{"id":"a","address":"h:2","kind":"p","zone":"zz"}]}`))
	for _, w := range []string{`/engines/0/kind: no kind is named "q"`, `/engines/1/id: "a" is /engines/0`, `/engines/1/zone: "zz"`} {
		if err == nil || !strings.Contains(err.Error(), w) {
			t.Errorf("%s is not in %v", w, err)
		}
	}
	again, err := p.Parse([]byte(`{"engines":[{"id":"c","address":"h:1","kind":"p","cell":"y"},{"id":"d","address":"h:1","kind":"p","cell":"z"}]}`))
	if err != nil || again.Engines[0].Cell != 1 || again.Engines[1].Cell != 2 {
		t.Errorf("cells keep their numbers: %+v, %v", again, err)
	}
}

func TestWatcherTakesReplacementsAndComplainsOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l.json")
	put := func(text string) {
		t.Helper()
		if err := Replace(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	put(`{"engines":[]}`)
	lists, errs := make(chan *List, 10), make(chan error, 10)
	w, err := Watch(path, 20*time.Millisecond, parser(t), func(l *List) { lists <- l }, func(err error) { errs <- err })
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if l := <-lists; len(l.Engines) != 0 {
		t.Fatal(l)
	}
	put(`{"engines":`)
	if err := <-errs; !strings.Contains(err.Error(), "not valid JSON") {
		t.Fatal(err)
	}
	os.Remove(path)
	if err := <-errs; !os.IsNotExist(err) {
		t.Fatal(err)
	}
	put(`{"engines":[{"id":"a","address":"h:1","kind":"p"}]}`)
	if l := <-lists; len(l.Engines) != 1 {
		t.Fatal(l)
	}
	select {
	case err := <-errs:
		t.Fatalf("complained again: %v", err)
	default:
	}
}
