package discovery

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/protocol"
)

// follow follows a source and returns channels of its lists and problems.
func follow(t *testing.T, c *config.Config, saved string) (chan protocol.EndpointList, chan string, error) {
	t.Helper()
	lists, problems := make(chan protocol.EndpointList, 100), make(chan string, 100)
	f, err := Follow(FollowOptions{
		Config:    c,
		SavedList: saved,
		OnUpdate:  func(list protocol.EndpointList) { lists <- list },
		OnProblem: func(text string) { problems <- text },
		Random:    func() float64 { return 0.1 },
	})
	if err == nil {
		t.Cleanup(f.Close)
	}
	return lists, problems, err
}

func receive[T any](t *testing.T, c chan T) (x T) {
	t.Helper()
	select {
	case x = <-c:
	case <-time.After(20 * time.Second):
		t.Fatal("nothing was received")
	}
	return x
}

func TestListFileIsFollowedAndProblemsReportedOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l.json")
	replaceList := func(text string) {
		t.Helper()
		if err := ReplaceFile(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	c := testParser(t).Config
	c.Engines.File, c.Engines.PollInterval = path, 0.02
	if _, _, err := follow(t, c, ""); !os.IsNotExist(err) {
		t.Fatal(err)
	}
	replaceList(`{"engines":[{"id":"b","address":"h:1","kind":"p"}]}`)
	lists, problems, err := follow(t, c, "")
	if err != nil {
		t.Fatal(err)
	}
	if l := receive(t, lists); len(l.Engines) != 1 {
		t.Fatal(l)
	}
	replaceList(`{"engines":`)
	if text := receive(t, problems); !strings.Contains(text, "not valid JSON") {
		t.Fatal(text)
	}
	os.Remove(path)
	if text := receive(t, problems); !strings.Contains(text, "no such file") {
		t.Fatal(text)
	}
	replaceList(`{"engines":[{"id":"b","address":"h:1","kind":"p"},{"id":"a","address":"h:1","kind":"p","cell":"y","boot_time":3}]}`)
	if l := receive(t, lists); len(l.Engines) != 2 || l.Engines[0].ID != "a" || l.Addresses["a"] != "h:1" {
		t.Fatal(l)
	}
	select {
	case text := <-problems:
		t.Fatalf("the problem was reported again: %v", text)
	default:
	}
}
