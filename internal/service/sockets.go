package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/coreos/go-systemd/v22/activation"
	"golang.org/x/sys/unix"
)

// Names of sockets that a service manager may pass to the program (LISTEN_FDNAMES). Without names, the first socket is for clients
// and the second for the admin listener.
const (
	ClientSocket = "client"
	AdminSocket  = "admin"
)

// InheritedListeners returns the listeners that were passed by LISTEN_FDS; nil where there is none. It removes the variables from
// the environment, so that a child process does not use them.
func InheritedListeners() (client, admin net.Listener, err error) {
	named, err := activation.ListenersWithNames()
	if err != nil {
		return nil, nil, fmt.Errorf("LISTEN_FDS: %w", err)
	}
	client, admin, unnamed := assignByName(named)
	for _, listener := range unnamed {
		switch {
		case client == nil:
			client = listener
		case admin == nil:
			admin = listener
		default:
			return nil, nil, errors.New("LISTEN_FDS: more sockets than listeners")
		}
	}
	return client, admin, nil
}

// assignByName returns the listeners named for clients and for the admin listener, and all others.
func assignByName(named map[string][]net.Listener) (client, admin net.Listener, unnamed []net.Listener) {
	for name, listeners := range named {
		for _, listener := range listeners {
			switch {
			case listener == nil: // the descriptor is not a stream socket
			case name == ClientSocket && client == nil:
				client = listener
			case name == AdminSocket && admin == nil:
				admin = listener
			default:
				unnamed = append(unnamed, listener)
			}
		}
	}
	return client, admin, unnamed
}

// Listen opens a TCP listener. If shared is set, several processes may listen on the same address (SO_REUSEPORT), so that a
// successor can open it before its predecessor has closed it.
func Listen(address string, shared bool) (net.Listener, error) {
	config := net.ListenConfig{}
	if shared {
		config.Control = reusePort
	}
	return config.Listen(context.Background(), "tcp", address)
}

// reusePort sets SO_REUSEPORT on a socket.
func reusePort(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	controlErr := conn.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}

// maxKnownDescriptors is the value above which a descriptor limit counts as unlimited.
const maxKnownDescriptors = 1 << 30

// DescriptorLimit returns the number of descriptors that the process may have open; 0 = unknown or unlimited.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxKnownDescriptors {
		return 0
	}
	return int(limit.Cur)
}
