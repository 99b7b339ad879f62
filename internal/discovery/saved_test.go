package discovery

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestSavedListOutlivesProcess(t *testing.T) {
	dir := t.TempDir()
	path, saved := filepath.Join(dir, "l.json"), filepath.Join(dir, "saved.json")
	c := testParser(t).Config
	c.Engines.File, c.Engines.PollInterval = path, 0.02
	engine := `{"id":"a","address":"h:1","kind":"d","cell":"y","zone":"zb","state":"draining","boot_time":7}`
	if err := ReplaceFile(path, []byte(`{"engines":[`+engine+`]}`)); err != nil {
		t.Fatal(err)
	}
	lists, _, err := follow(t, c, saved)
	if err != nil {
		t.Fatal(err)
	}
	want := receive(t, lists)
	os.Remove(path)
	lists, problems, err := follow(t, c, saved)
	if err != nil {
		t.Fatal(err)
	}
	if l := receive(t, lists); !l.Saved || len(l.Engines) != 1 || l.Engines[0] != want.Engines[0] {
		t.Fatalf("%+v, want %+v", l, want)
	}
	receive(t, problems) // the list file is missing
	if err := os.WriteFile(saved, []byte("{\"engines\":[{"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, _, err = follow(t, c, saved); err == nil {
		t.Fatal("started with neither a list nor a saved one")
	}
}

// A list whose first save failed is saved once the directory is writable. A partial file that a killed process left behind is
// removed.
func TestListIsSavedOnceFolderIsWritable(t *testing.T) {
	dir := t.TempDir()
	path, state := filepath.Join(dir, "l.json"), filepath.Join(dir, "state")
	c := testParser(t).Config
	c.Engines.File, c.Engines.PollInterval = path, 0.02
	if err := ReplaceFile(path, []byte(`{"engines":[{"id":"a","address":"h:1","kind":"d"}]}`)); err != nil {
		t.Fatal(err)
	}
	lists, problems, err := follow(t, c, filepath.Join(state, "saved.json")) // the directory does not exist yet
	if err != nil {
		t.Fatal(err)
	}
	receive(t, lists)
	if text := receive(t, problems); !strings.Contains(text, "not saved") {
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
			t.Fatal("the list is not saved, although the directory is writable")
		}
	}
	partial := filepath.Join(state, ".list-123")
	if err := os.WriteFile(partial, []byte(`{"engi`), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, _, err := follow(t, c, filepath.Join(state, "saved.json")); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(partial); !os.IsNotExist(err) {
		t.Errorf("the partial file is still there: %v", err)
	}
}
