package discovery

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dillroute/internal/decide/endpoints"

	"github.com/fsnotify/fsnotify"
)

// minFileInterval is the minimum interval between polls of a list file.
const minFileInterval = 10 * time.Millisecond

// fileSource reads a list file that is replaced by rename.
type fileSource struct {
	path     string
	interval time.Duration // poll interval
	parser   *Parser
	lastText []byte      // content of the last valid list; nil = none yet
	lastInfo os.FileInfo // of the file with lastText
}

// run watches the directory and not the file, because a rename replaces the file. It also polls the file, to detect a change
// that caused no event or whose event the watcher lost.
func (s *fileSource) run(responses chan<- response, stop <-chan struct{}) {
	var events chan fsnotify.Event
	var watchErrors chan error
	if watcher, err := fsnotify.NewWatcher(); err == nil {
		defer watcher.Close()
		if watcher.Add(filepath.Dir(s.path)) == nil {
			events = watcher.Events
			watchErrors = watcher.Errors
		}
	}
	ticker := time.NewTicker(max(s.interval, minFileInterval))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case event := <-events:
			if filepath.Base(event.Name) != filepath.Base(s.path) {
				continue
			}
		case <-watchErrors:
			continue
		case <-ticker.C:
		}
		list, changed, err := s.read()
		if err == nil && !changed {
			continue
		}
		select {
		case responses <- response{list: list, err: err}:
		case <-stop:
			return
		}
	}
}

// read reads the file. If its content differs from the last valid list, read returns the new list, and true for changed.
func (s *fileSource) read() (list endpoints.List, changed bool, err error) {
	info, err := os.Stat(s.path)
	if err != nil {
		return list, false, err
	}
	if s.unchanged(info) {
		return list, false, nil // most polls end here
	}
	if info.Size() > maxListBytes {
		return list, false, fmt.Errorf("%s: %d bytes exceed the limit of %d for a list", s.path, info.Size(), maxListBytes)
	}
	text, err := os.ReadFile(s.path)
	if err != nil {
		return list, false, err
	}
	if s.lastText != nil && bytes.Equal(text, s.lastText) {
		return list, false, nil
	}
	listed, err := s.parser.ParseFile(text)
	if err != nil {
		return list, false, fmt.Errorf("%s:\n%w", s.path, err)
	}
	s.lastText = text
	s.lastInfo = info
	return endpoints.List{Endpoints: listed}, true, nil
}

// unchanged reports whether a file is the one of the last valid list, with the same modification time and size.
func (s *fileSource) unchanged(info os.FileInfo) bool {
	last := s.lastInfo
	return last != nil && os.SameFile(last, info) && last.ModTime().Equal(info.ModTime()) && last.Size() == info.Size()
}
