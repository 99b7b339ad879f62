package service

import (
	"errors"
	"syscall"
	"time"
)

// Transient tells whether a system call failed for a reason that may pass by itself: a table or a disk that is full, memory that is
// short, an address that a predecessor still has or that the machine does not have yet.
func Transient(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EINTR, syscall.EAGAIN, syscall.EBUSY, syscall.EIO, syscall.ESTALE, syscall.ETIMEDOUT,
		syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.ENOSPC, syscall.EDQUOT,
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH:
		return true
	}
	return false
}

// Pauses between tries: doubled from the first to the longest.
const (
	MinBackoff = 20 * time.Millisecond
	MaxBackoff = 200 * time.Millisecond
)

// RetryTransient does a thing again for as long as it fails for a transient reason, within a time.
func RetryTransient(within time.Duration, do func() error) error {
	pause := MinBackoff
	for end := time.Now().Add(within); ; pause = min(2*pause, MaxBackoff) {
		err := do()
		if err == nil || !Transient(err) || time.Now().Add(pause).After(end) {
			return err
		}
		time.Sleep(pause)
	}
}
