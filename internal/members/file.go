package members

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// Watcher follows a list file that is replaced by rename.
type Watcher struct {
	path   string
	poll   time.Duration
	parser *Parser
	last   []byte
	broken string
	stop   chan struct{}
	done   chan struct{}
}

// maxList bounds the bytes of a list file.
const maxList = 64 << 20

// Watch reads the list and then tells of each change: take gets a new list, complain the reason why a file was
// not taken, once for each such file. Both are called on the watcher's goroutine. A first list that cannot be
// read is an error.
func Watch(path string, poll time.Duration, parser *Parser, take func(*List), complain func(error)) (*Watcher, error) {
	w := &Watcher{path: path, poll: poll, parser: parser, stop: make(chan struct{}), done: make(chan struct{})}
	l, err := w.read()
	if err != nil {
		return nil, err
	}
	take(l)
	// The folder is watched, for a rename replaces the file itself. Without notification the poll does.
	n, err := fsnotify.NewWatcher()
	if err == nil {
		if err = n.Add(filepath.Dir(path)); err != nil {
			n.Close()
		}
	}
	if err != nil {
		complain(fmt.Errorf("no notice of changes, the list is polled: %w", err))
		n = nil
	}
	go w.run(n, take, complain)
	return w, nil
}

// Close stops the watcher.
func (w *Watcher) Close() {
	close(w.stop)
	<-w.done
}

func (w *Watcher) run(n *fsnotify.Watcher, take func(*List), complain func(error)) {
	defer close(w.done)
	var events chan fsnotify.Event
	var errs chan error
	if n != nil {
		defer n.Close()
		events, errs = n.Events, n.Errors
	}
	tick := time.NewTicker(max(w.poll, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case e := <-events:
			if filepath.Base(e.Name) != filepath.Base(w.path) {
				continue
			}
		case <-errs: // an overflow: the poll makes up for it
			continue
		case <-tick.C:
		}
		l, err := w.read()
		switch {
		case err != nil && err.Error() != w.broken:
			w.broken = err.Error()
			complain(err)
		case err == nil && l != nil:
			w.broken = ""
			take(l)
		}
	}
}

// read returns the list if the file has changed, else nil.
func (w *Watcher) read() (*List, error) {
	info, err := os.Stat(w.path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxList {
		return nil, fmt.Errorf("%s: %d bytes exceed the %d that a list may have", w.path, info.Size(), maxList)
	}
	text, err := os.ReadFile(w.path)
	if err != nil {
		return nil, err
	}
	if w.last != nil && bytes.Equal(text, w.last) {
		return nil, nil
	}
	l, err := w.parser.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", w.path, err)
	}
	w.last = text
	return l, nil
}

// Replace writes a file in one step, so that no reader sees half of it.
func Replace(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".list-*")
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
	}
	return err
}
