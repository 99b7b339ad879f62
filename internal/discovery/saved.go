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

// saveWait limits how long save waits until its list is written. Unless the disk is slower, the list in use is thus durable before
// the follower handles the next one.
const saveWait = 100 * time.Millisecond

// Backoff before a failed save is retried. It doubles from the initial to the maximum value.
const (
	initialSaveBackoff = 250 * time.Millisecond
	maxSaveBackoff     = 10 * time.Second
)

// restoreTimeout limits the retries of reading a saved list that fails for a transient reason.
const restoreTimeout = time.Second

// listSaver writes the newest list to a file and retries failed writes, because a disk may be full for a while. It writes on its
// own goroutine, because a disk that hangs must not delay the endpoint view.
type listSaver struct {
	path      string
	enabled   atomic.Bool
	pending   chan pendingSave // the newest list that is not written yet
	stop      <-chan struct{}
	done      chan struct{} // closed when the saver's goroutine has ended
	onProblem func(string)
}

// pendingSave is a list to write.
type pendingSave struct {
	text      []byte
	attempted chan struct{} // closed after the first attempt to write it, or when saving is disabled
}

// newListSaver returns a saver and starts its goroutine, which ends after stop is closed. If a list is pending at that time, the
// goroutine still makes one attempt to write it.
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

// save passes a list to the goroutine, in place of an older one that is still pending. It waits up to saveWait for the first attempt to
// write the list. It must be called by one goroutine at a time.
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

// write writes a list. It retries a failed write, with a newer list if there is one, until saving is disabled or the saver stops.
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

// markAttempted unblocks the call of save that waits for the first attempt.
func (p pendingSave) markAttempted() {
	select {
	case <-p.attempted:
	default:
		close(p.attempted)
	}
}

// restore applies the list that an earlier run saved, and removes partially written files. A saved list that cannot be read is
// reported but does not prevent the start.
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

// readSavedList reads a saved list. It retries reads that fail for a transient reason, for up to restoreTimeout.
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
