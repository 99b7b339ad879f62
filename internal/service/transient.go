package service

import (
	"errors"
	"syscall"
	"time"
)

// IsTransient reports whether a system call failed for a reason that may end without intervention: for example a full descriptor table
// or disk, a lack of memory, or an address that a predecessor still uses or that the machine does not have yet.
func IsTransient(err error) bool {
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

// Backoff between the attempts of RetryTransient. It doubles from the minimum to the maximum.
const (
	MinBackoff = 20 * time.Millisecond
	MaxBackoff = 200 * time.Millisecond
)

// RetryTransient calls do, and repeats it with backoff while it fails for a transient reason. It stops when the next call would begin
// later than within after the first. It returns the last error.
func RetryTransient(within time.Duration, do func() error) error {
	backoff := MinBackoff
	for end := time.Now().Add(within); ; backoff = min(2*backoff, MaxBackoff) {
		err := do()
		if err == nil || !IsTransient(err) || time.Now().Add(backoff).After(end) {
			return err
		}
		time.Sleep(backoff)
	}
}
