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

func TestTransient(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{&net.OpError{Op: "listen", Err: os.NewSyscallError("socket", syscall.ENFILE)}, true},
		{fmt.Errorf("listen: %w", &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}), true},
		{&os.PathError{Op: "open", Err: syscall.EIO}, true},
		{&os.PathError{Op: "open", Err: syscall.ENOENT}, false},
		{&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EACCES)}, false},
		{errors.New("a configuration that is wrong"), false},
		{nil, false},
	} {
		if got := Transient(c.err); got != c.want {
			t.Errorf("%v: got %v, want %v", c.err, got, c.want)
		}
	}
}

func TestPersist(t *testing.T) {
	tries := 0
	err := RetryTransient(10*time.Second, func() error {
		if tries++; tries < 4 {
			return syscall.ENOBUFS
		}
		return nil
	})
	if err != nil || tries != 4 {
		t.Errorf("got %v after %d tries, want success at the fourth", err, tries)
	}
	tries = 0
	if err := RetryTransient(10*time.Second, func() error { tries++; return syscall.EACCES }); !errors.Is(err, syscall.EACCES) || tries != 1 {
		t.Errorf("got %v after %d tries, want what does not pass at once", err, tries)
	}
	if err := RetryTransient(0, func() error { return syscall.ENFILE }); !errors.Is(err, syscall.ENFILE) {
		t.Errorf("got %v when the time is over", err)
	}
}
