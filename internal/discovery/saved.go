package discovery

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"dillroute/internal/decide/endpoints"
	"dillroute/internal/service"
)

// saveWait is the time for which save waits until its list is written, so that a list lasts from the moment that it is used
// where the disk allows it.
const saveWait = 100 * time.Millisecond

// Backoff before a list that could not be saved is written again: it doubles from the first to the longest.
const (
	initialSaveBackoff = 250 * time.Millisecond
	maxSaveBackoff     = 10 * time.Second
)

// restoreTimeout bounds how long a saved list is read again that cannot be read for a transient reason.
const restoreTimeout = time.Second

// listSaver writes the newest list to a file, again and again where it cannot be written: a disk may be full for a while. It
// writes on a goroutine of its own, because a disk that hangs must not delay the endpoint view.
type listSaver struct {
	path      string
	enabled   atomic.Bool
	pending   chan pendingSave // the newest list that is still to be written
	stop      <-chan struct{}
	done      chan struct{} // closed when nothing is written any more
	onProblem func(string)
}

// pendingSave is a list that is to be written.
type pendingSave struct {
	text      []byte
	attempted chan struct{} // closed when it was written, or when the first attempt failed
}

// newListSaver returns a saver and starts its goroutine, which ends after stop is closed. A list that is pending then is
// still written.
func newListSaver(path string, stop <-chan struct{}, onProblem func(string)) *listSaver {
	s := &listSaver{
		path:      path,
		pending:   make(chan pendingSave, 1),
		stop:      stop,
		done:      make(chan struct{}),
		onProblem: onProblem,
	}
	s.enabled.Store(true)
	go s.run()
	return s
}

// save hands a list to the goroutine in place of an older one that is still pending, and waits for the first attempt, but
// only for saveWait. One goroutine calls it.
func (s *listSaver) save(text []byte) {
	select {
	case <-s.pending:
	default:
	}
	next := pendingSave{text: text, attempted: make(chan struct{})}
	s.pending <- next
	select {
	case <-next.attempted:
	case <-time.After(saveWait):
	}
}

func (s *listSaver) run() {
	defer close(s.done)
	for {
		select {
		case next := <-s.pending:
			s.write(next)
		case <-s.stop:
			select {
			case next := <-s.pending:
				s.write(next)
			default:
			}
			return
		}
	}
}

// write writes a list, or a newer one, until it is written, saving is switched off, or the saver stops.
func (s *listSaver) write(next pendingSave) {
	for backoff := initialSaveBackoff; s.enabled.Load(); backoff = min(2*backoff, maxSaveBackoff) {
		err := ReplaceFile(s.path, next.text)
		next.markAttempted()
		if err == nil {
			return
		}
		if backoff == initialSaveBackoff {
			s.onProblem("endpoint list not saved yet: " + err.Error())
		}
		select {
		case <-s.stop:
			return
		case next = <-s.pending:
		case <-time.After(backoff):
		}
	}
	next.markAttempted()
}

// markAttempted ends the wait of save.
func (p pendingSave) markAttempted() {
	select {
	case <-p.attempted:
	default:
		close(p.attempted)
	}
}

// restore applies the list that an earlier run saved, and removes files that were written in part. A list that cannot be read
// is no reason not to start.
func (f *Follower) restore() {
	path := f.options.SavedList
	if path == "" {
		return
	}
	removePartialFiles(filepath.Dir(path))
	listed, err := readSavedList(path, f.parser)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		f.options.OnProblem(fmt.Sprintf("saved endpoint list rejected: %s: %v", path, err))
		return
	}
	now := f.options.Clock.Now()
	f.view.Restore(now, listed)
	f.publish(now)
}

// readSavedList reads a saved list, again for a while where it cannot be read for a transient reason.
func readSavedList(path string, parser *Parser) ([]endpoints.Endpoint, error) {
	var text []byte
	err := service.RetryTransient(restoreTimeout, func() (err error) {
		text, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, err
	}
	return parser.ParseFile(text)
}
