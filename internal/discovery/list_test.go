package discovery

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/decide/endpoints"
	"dillroute/internal/protocol"
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
	want := []endpoints.Entry{{ID: "b", Address: "127.0.0.1:2", Kind: 1, Role: 1, Zone: 1, State: endpoints.Draining},
		{ID: "a", Address: "127.0.0.1:1", Cell: 1, Weight: 1, Boot: 7}}
	if len(l) != 2 || l[0] != want[0] || l[1] != want[1] {
		t.Fatalf("%+v", l)
	}
	_, err = p.Parse([]byte(`{"engines":[{"id":"a","address":"h:1","kind":"q"},{"id":"a","address":"h:2","kind":"p","zone":"zz"}]}`))
	for _, w := range []string{`/engines/0/kind: no kind is named "q"`, `/engines/1/zone: "zz"`} {
		if err == nil || !strings.Contains(err.Error(), w) {
			t.Errorf("%s is not in %v", w, err)
		}
	}
	again, err := p.Parse([]byte(`{"engines":[{"id":"c","address":"h:1","kind":"p","cell":"y"},{"id":"d","address":"h:1","kind":"p","cell":"z"}]}`))
	if err != nil || again[0].Cell != 1 || again[1].Cell != 2 {
		t.Errorf("cells keep their numbers: %+v, %v", again, err)
	}
}

// follow follows a source and gathers what it is told.
func follow(t *testing.T, c *config.Config, saved string) (chan protocol.EndpointList, chan string, error) {
	t.Helper()
	lists, words := make(chan protocol.EndpointList, 100), make(chan string, 100)
	f, err := Follow(FollowOptions{Config: c, Saved: saved, Take: func(l protocol.EndpointList) { lists <- l }, Complain: func(s string) { words <- s },
		Draw: func() float64 { return 0.1 }})
	if err == nil {
		t.Cleanup(f.Close)
	}
	return lists, words, err
}

func next[T any](t *testing.T, c chan T) (x T) {
	t.Helper()
	select {
	case x = <-c:
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
	}
	return x
}

func TestFileIsFollowedAndComplainedOfOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l.json")
	put := func(text string) {
		t.Helper()
		if err := Replace(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	c := parser(t).Config
	c.Engines.File, c.Engines.Poll = path, 0.02
	if _, _, err := follow(t, c, ""); !os.IsNotExist(err) {
		t.Fatal(err)
	}
	put(`{"engines":[{"id":"b","address":"h:1","kind":"p"}]}`)
	lists, words, err := follow(t, c, "")
	if err != nil {
		t.Fatal(err)
	}
	if l := next(t, lists); len(l.Engines) != 1 {
		t.Fatal(l)
	}
	put(`{"engines":`)
	if text := next(t, words); !strings.Contains(text, "not valid JSON") {
		t.Fatal(text)
	}
	os.Remove(path)
	if text := next(t, words); !strings.Contains(text, "no such file") {
		t.Fatal(text)
	}
	put(`{"engines":[{"id":"b","address":"h:1","kind":"p"},{"id":"a","address":"h:1","kind":"p","cell":"y","boot_time":3}]}`)
	if l := next(t, lists); len(l.Engines) != 2 || l.Engines[0].ID != "a" || l.Addresses["a"] != "h:1" {
		t.Fatal(l)
	}
	select {
	case text := <-words:
		t.Fatalf("complained again: %v", text)
	default:
	}
}

func TestLastListOutlivesTheProcess(t *testing.T) {
	dir := t.TempDir()
	path, saved := filepath.Join(dir, "l.json"), filepath.Join(dir, "saved.json")
	c := parser(t).Config
	c.Engines.File, c.Engines.Poll = path, 0.02
	if err := Replace(path, []byte(`{"engines":[{"id":"a","address":"h:1","kind":"d","cell":"y","zone":"zb","state":"draining","boot_time":7}]}`)); err != nil {
		t.Fatal(err)
	}
	lists, _, err := follow(t, c, saved)
	if err != nil {
		t.Fatal(err)
	}
	want := next(t, lists)
	os.Remove(path)
	lists, words, err := follow(t, c, saved)
	if err != nil {
		t.Fatal(err)
	}
	if l := next(t, lists); !l.Saved || len(l.Engines) != 1 || l.Engines[0] != want.Engines[0] {
		t.Fatalf("%+v, want %+v", l, want)
	}
	next(t, words) // that the file is not there
	if err := os.WriteFile(saved, []byte("{\"engines\":[{"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, _, err = follow(t, c, saved); err == nil {
		t.Fatal("started with neither a list nor a saved one")
	}
}

// A list that could not be saved when it was heard is saved when the folder can be written again; and what a process that was killed
// had half written is taken away.
func TestListIsSavedWhenTheFolderCanBeWrittenAgain(t *testing.T) {
	dir := t.TempDir()
	path, state := filepath.Join(dir, "l.json"), filepath.Join(dir, "state")
	c := parser(t).Config
	c.Engines.File, c.Engines.Poll = path, 0.02
	if err := Replace(path, []byte(`{"engines":[{"id":"a","address":"h:1","kind":"d"}]}`)); err != nil {
		t.Fatal(err)
	}
	lists, words, err := follow(t, c, filepath.Join(state, "saved.json")) // the folder is not there yet
	if err != nil {
		t.Fatal(err)
	}
	next(t, lists)
	if text := next(t, words); !strings.Contains(text, "not saved") {
		t.Fatal(text)
	}
	if err := os.Mkdir(state, 0o755); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if text, err := os.ReadFile(filepath.Join(state, "saved.json")); err == nil && strings.Contains(string(text), `"a"`) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the list is not saved, though the folder can be written")
		}
	}
	half := filepath.Join(state, ".list-123")
	if err := os.WriteFile(half, []byte(`{"engi`), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, _, err := follow(t, c, filepath.Join(state, "saved.json")); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(half); !os.IsNotExist(err) {
		t.Errorf("what was half written is still there: %v", err)
	}
}
