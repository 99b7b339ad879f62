package service

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func TestIsTransient(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{&net.OpError{Op: "listen", Err: os.NewSyscallError("socket", syscall.ENFILE)}, true},
		{fmt.Errorf("listen: %w", &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}), true},
		{&os.PathError{Op: "open", Err: syscall.EIO}, true},
		{&os.PathError{Op: "open", Err: syscall.ENOENT}, false},
		{&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EACCES)}, false},
		{errors.New("an invalid configuration"), false},
		{nil, false},
	} {
		if got := IsTransient(c.err); got != c.want {
			t.Errorf("%v: got %v, want %v", c.err, got, c.want)
		}
	}
}

func TestRetryTransient(t *testing.T) {
	attempts := 0
	err := RetryTransient(10*time.Second, func() error {
		if attempts++; attempts < 4 {
			return syscall.ENOBUFS
		}
		return nil
	})
	if err != nil || attempts != 4 {
		t.Errorf("got %v after %d attempts, want success at the fourth", err, attempts)
	}
	attempts = 0
	err = RetryTransient(10*time.Second, func() error {
		attempts++
		return syscall.EACCES
	})
	if !errors.Is(err, syscall.EACCES) || attempts != 1 {
		t.Errorf("got %v after %d attempts, want EACCES after one", err, attempts)
	}
	if err := RetryTransient(0, func() error { return syscall.ENFILE }); !errors.Is(err, syscall.ENFILE) {
		t.Errorf("got %v without time, want ENFILE", err)
	}
}
