package soak

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// notification is struct seccomp_notif.
type notification struct {
	id         uint64
	pid        uint32
	flags      uint32
	callNumber int32
	arch       uint32
	ip         uint64
	args       [6]uint64
}

// notificationResponse is struct seccomp_notif_resp.
type notificationResponse struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

// Commands and flags of a seccomp notifier (linux/seccomp.h).
const (
	notifyReceive  = 0xc0502100 // SECCOMP_IOCTL_NOTIF_RECV
	notifySend     = 0xc0182101 // SECCOMP_IOCTL_NOTIF_SEND
	notifyContinue = 1          // SECCOMP_USER_NOTIF_FLAG_CONTINUE
)

// Supervisor decides which of the watched system calls of one process fail. No call fails until Fail is called.
type Supervisor struct {
	watchedFile string // path of the only file for which openat may fail

	mu     sync.Mutex                      // guards the fields below
	decide func(call uint32) syscall.Errno // nil: no call fails
	failed map[string]int                  // numbers of failed calls, by call number and error
}

// Fail sets a function that decides about each watched call from now on. It returns the error with which the call fails; 0 lets the call
// proceed. If decide is nil, all calls proceed. decide runs under the supervisor's lock, for one call at a time.
func (s *Supervisor) Fail(decide func(call uint32) syscall.Errno) {
	s.mu.Lock()
	s.decide = decide
	s.mu.Unlock()
}

// addFailed adds the numbers of failed calls, by call number and error, to total.
func (s *Supervisor) addFailed(total map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for call, n := range s.failed {
		total[call] += n
	}
}

// decideCall returns the error with which a call fails, and counts the failure; 0 if the call proceeds.
func (s *Supervisor) decideCall(call uint32) syscall.Errno {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decide == nil {
		return 0
	}
	errno := s.decide(call)
	if errno != 0 {
		if s.failed == nil {
			s.failed = map[string]int{}
		}
		s.failed[fmt.Sprintf("%d %v", call, errno)]++
	}
	return errno
}

// serve answers the notifications of one process until it ends.
func (s *Supervisor) serve(notifier int) {
	defer unix.Close(notifier)
	for {
		ready := []unix.PollFd{{Fd: int32(notifier), Events: unix.POLLIN}}
		if _, err := unix.Poll(ready, -1); err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
		if ready[0].Revents&unix.POLLIN == 0 {
			if ready[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0 {
				return
			}
			continue
		}
		var n notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(notifier), notifyReceive, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the call was interrupted, or its process has ended
		}
		response := s.respond(&n)
		unix.Syscall(unix.SYS_IOCTL, uintptr(notifier), notifySend, uintptr(unsafe.Pointer(&response)))
	}
}

// respond returns the response to a notification. A call that opens a file other than the watched one always proceeds.
func (s *Supervisor) respond(n *notification) notificationResponse {
	proceed := notificationResponse{id: n.id, flags: notifyContinue}
	if n.callNumber == unix.SYS_OPENAT && s.openedPath(n) != s.watchedFile {
		return proceed
	}
	errno := s.decideCall(uint32(n.callNumber))
	if errno == 0 {
		return proceed
	}
	return notificationResponse{id: n.id, error: -int32(errno)}
}

// openedPath reads the path argument of an openat call from the process's memory; "" if it cannot be read.
func (s *Supervisor) openedPath(n *notification) string {
	b := make([]byte, len(s.watchedFile)+1) // one byte more than the watched path, so that a longer path with this prefix differs
	local := []unix.Iovec{{Base: &b[0], Len: uint64(len(b))}}
	remote := []unix.RemoteIovec{{Base: uintptr(n.args[1]), Len: len(b)}}
	k, err := unix.ProcessVMReadv(int(n.pid), local, remote, 0)
	if err != nil {
		return ""
	}
	text, _, _ := bytes.Cut(b[:k], []byte{0})
	return string(text)
}

// start starts a command under the supervisor. The command runs this program, which calls Launch.
func (s *Supervisor) start(cmd *exec.Cmd) error {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	childSide := os.NewFile(uintptr(pair[1]), "notifier")
	cmd.ExtraFiles = []*os.File{childSide}
	err = cmd.Start()
	childSide.Close()
	if err != nil {
		unix.Close(pair[0])
		return err
	}
	go s.receiveNotifier(pair[0])
	return nil
}

// receiveNotifier receives the notifier that the launched process sends on a socket, and serves it until the process ends.
func (s *Supervisor) receiveNotifier(socket int) {
	defer unix.Close(socket)
	rights := make([]byte, unix.CmsgSpace(4)) // space for one descriptor
	_, n, _, _, err := unix.Recvmsg(socket, make([]byte, 1), rights, 0)
	if err != nil || n == 0 {
		return // the launch has failed; the cause is in the process's log
	}
	messages, err := unix.ParseSocketControlMessage(rights[:n])
	if err != nil {
		return
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return
	}
	s.serve(descriptors[0])
}
