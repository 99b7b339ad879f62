// Package service lets the program be run like any other background service: sockets handed over by a service
// manager, word of readiness, and a state directory that one process holds.
package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/coreos/go-systemd/v22/activation"
	"github.com/coreos/go-systemd/v22/daemon"
	"golang.org/x/sys/unix"
)

// Names of sockets that a service manager may hand over (LISTEN_FDNAMES). Without names the first one is for clients
// and the second for the admin listener.
const (
	ClientSocket = "client"
	AdminSocket  = "admin"
)

// InheritedListeners returns the listeners that were handed over by LISTEN_FDS, by name. The variables are taken out of the
// environment, so that a child does not take them for its own.
func InheritedListeners() (client, admin net.Listener, err error) {
	named, err := activation.ListenersWithNames()
	if err != nil {
		return nil, nil, fmt.Errorf("LISTEN_FDS: %w", err)
	}
	var rest []net.Listener
	for name, ls := range named {
		for _, l := range ls {
			switch {
			case l == nil:
			case name == ClientSocket && client == nil:
				client = l
			case name == AdminSocket && admin == nil:
				admin = l
			default:
				rest = append(rest, l)
			}
		}
	}
	for _, l := range rest {
		switch {
		case client == nil:
			client = l
		case admin == nil:
			admin = l
		default:
			return nil, nil, errors.New("LISTEN_FDS: more sockets than the program has listeners")
		}
	}
	return client, admin, nil
}

// Listen opens a socket. With shared set, several processes may listen at one address (SO_REUSEPORT): a successor
// opens it before its predecessor has closed it.
func Listen(address string, shared bool) (net.Listener, error) {
	lc := net.ListenConfig{}
	if shared {
		lc.Control = func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); cerr != nil {
				return cerr
			}
			return err
		}
	}
	return lc.Listen(context.Background(), "tcp", address)
}

// Notify sends a word to the service manager (sd_notify), if there is one. It must not fail the program.
func Notify(words ...string) { daemon.SdNotify(false, strings.Join(words, "\n")) }

// Words for Tell.
const (
	Ready     = daemon.SdNotifyReady
	Stopping  = daemon.SdNotifyStopping
	Reloading = daemon.SdNotifyReloading
)

// StateDir is a state directory that this process holds.
type StateDir struct {
	Dir  string
	lock *os.File
}

// AwaitStateDir holds a directory as Hold does, but waits for its present holder to let go.
func AwaitStateDir(dir string, wait time.Duration) (*StateDir, error) {
	for end := time.Now().Add(wait); ; time.Sleep(2 * time.Millisecond) {
		s, err := AcquireStateDir(dir)
		if err == nil || time.Now().After(end) {
			return s, err
		}
	}
}

// AcquireStateDir makes the directory if need be and locks it. The lock ends with the process, however it ends, so a killed one
// leaves nothing that its successor would have to clear; the number in the file is for people.
func AcquireStateDir(dir string) (*StateDir, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "lock")
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		holder := make([]byte, 20)
		n, _ := f.Read(holder)
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s is held by process %s", dir, strings.TrimSpace(string(holder[:n])))
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := f.Truncate(0); err == nil { // a full disk is no reason not to start
		f.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
	return &StateDir{dir, f}, nil
}

// Release lets another process hold the directory.
func (s *StateDir) Release() error { return s.lock.Close() }

// DescriptorLimit returns how many descriptors the process may hold; 0 = not known, or without bound.
func DescriptorLimit() int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur > 1<<30 {
		return 0
	}
	return int(r.Cur)
}
