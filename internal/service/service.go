// Package service contains what a program needs to run as a background service: it inherits sockets from a service manager,
// notifies it of readiness, locks a state directory, and retries system calls that fail for a transient reason.
package service

import (
	"strings"

	"github.com/coreos/go-systemd/v22/daemon"
)

// States for Notify.
const (
	Ready     = daemon.SdNotifyReady
	Stopping  = daemon.SdNotifyStopping
	Reloading = daemon.SdNotifyReloading
)

// Notify sends states to the service manager (sd_notify), if there is one. Errors are ignored: a failed notification must not stop
// the program.
func Notify(states ...string) { daemon.SdNotify(false, strings.Join(states, "\n")) }
