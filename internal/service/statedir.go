package service

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lockFile           = "lock"               // name in the state directory
	lockRetryInterval  = 2 * time.Millisecond // between attempts to lock a directory that another process has locked
	maxProcessIDDigits = 20                   // bytes of the lock file that are read for an error message
)

// StateDir is a state directory that this process has locked.
type StateDir struct {
	Dir  string
	lock *os.File
}

// AwaitStateDir acquires a directory like AcquireStateDir, but retries for up to wait, because another process may still hold it.
func AwaitStateDir(dir string, wait time.Duration) (*StateDir, error) {
	for end := time.Now().Add(wait); ; time.Sleep(lockRetryInterval) {
		stateDir, err := AcquireStateDir(dir)
		if err == nil || time.Now().After(end) {
			return stateDir, err
		}
	}
}

// AcquireStateDir creates the directory if necessary and locks it. The kernel releases the lock when the process ends, so a killed
// process leaves nothing to clean up. The process id in the lock file is only information for operators.
func AcquireStateDir(dir string) (*StateDir, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, lockFile)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		holder := make([]byte, maxProcessIDDigits)
		n, _ := file.Read(holder)
		file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s is held by process %s", dir, strings.TrimSpace(string(holder[:n])))
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := file.Truncate(0); err == nil { // ignore errors: a full disk must not prevent the start
		file.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
	return &StateDir{Dir: dir, lock: file}, nil
}

// Release unlocks the directory, so that another process can acquire it.
func (s *StateDir) Release() error { return s.lock.Close() }
