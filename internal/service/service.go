// Package service lets the program run like any other background service: it takes over sockets from a service manager,
// notifies it of readiness, locks a state directory, and retries system calls that failed for a transient reason.
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

// Notify sends states to the service manager (sd_notify), if there is one. A notification that fails must not fail the program.
func Notify(states ...string) { daemon.SdNotify(false, strings.Join(states, "\n")) }
