package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dillroute/internal/decide/endpoints"

	"github.com/fsnotify/fsnotify"
)

// file is a list file that is replaced by rename.
type file struct {
	path   string
	poll   time.Duration
	parser *Parser
	last   []byte
	seen   os.FileInfo
}

// maxList bounds the bytes of a list.
const maxList = 64 << 20

// run watches the folder, for a rename replaces the file itself, and looks now and then all the same: without notice,
// or after too many of them, the poll finds out.
func (w *file) run(answers chan<- answer, stop <-chan struct{}) {
	var events chan fsnotify.Event
	var errs chan error
	if n, err := fsnotify.NewWatcher(); err == nil {
		defer n.Close()
		if n.Add(filepath.Dir(w.path)) == nil {
			events, errs = n.Events, n.Errors
		}
	}
	tick := time.NewTicker(max(w.poll, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case e := <-events:
			if filepath.Base(e.Name) != filepath.Base(w.path) {
				continue
			}
		case <-errs:
			continue
		case <-tick.C:
		}
		list, changed, err := w.read()
		if err == nil && !changed {
			continue
		}
		select {
		case answers <- answer{list: list, err: err}:
		case <-stop:
			return
		}
	}
}

// read returns the list, and whether it differs from the last one read.
func (w *file) read() (list endpoints.List, changed bool, err error) {
	info, err := os.Stat(w.path)
	if err != nil {
		return list, false, err
	}
	if w.seen != nil && os.SameFile(w.seen, info) && w.seen.ModTime().Equal(info.ModTime()) && w.seen.Size() == info.Size() {
		return list, false, nil // most polls end here
	}
	if info.Size() > maxList {
		return list, false, fmt.Errorf("%s: %d bytes exceed the %d that a list may have", w.path, info.Size(), maxList)
	}
	text, err := os.ReadFile(w.path)
	if err != nil {
		return list, false, err
	}
	if w.last != nil && bytes.Equal(text, w.last) {
		return list, false, nil
	}
	entries, err := w.parser.ParseFile(text)
	if err != nil {
		return list, false, fmt.Errorf("%s:\n%w", w.path, err)
	}
	w.last, w.seen = text, info
	return endpoints.List{Entries: entries}, true, nil
}

// halfWritten is the pattern of names under which Replace writes.
const halfWritten = ".list-*"

// ReplaceFile writes a file in one step, so that no reader sees half of it, and does not return before it lasts.
func ReplaceFile(path string, text []byte) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, halfWritten)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	return syncFolder(dir)
}

// syncFolder makes a rename last.
func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// removeHalfWritten takes away what a process that was killed had not written to its end.
func removeHalfWritten(dir string) {
	names, err := filepath.Glob(filepath.Join(dir, halfWritten))
	if err != nil {
		return // the pattern is a constant
	}
	for _, name := range names {
		os.Remove(name) // what cannot be removed harms nobody
	}
}
