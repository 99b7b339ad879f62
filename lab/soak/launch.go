package soak

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Environment variables of a process that Launch replaces by a node's program.
const (
	envProgram     = "SOAK_PROGRAM" // path of the program to execute
	envDescriptors = "SOAK_FILES"   // limit of the program's open file descriptors
	envClock       = "SOAK_CLOCK"   // path of the file with the offset of its wall clock (Clock)
)

const (
	// notifierFD is the descriptor of the socket on which the process sends its seccomp notifier to the supervisor.
	notifierFD = 3
	// exitLaunchFailed is the exit status if the launch fails. A shell uses the same status for a command that is not found.
	exitLaunchFailed = 127
)

// Launch replaces this process by the program that the environment names, under a seccomp filter that passes the watched system calls
// to the supervisor first. It returns immediately if the environment names no program.
func Launch() {
	program := os.Getenv(envProgram)
	if program == "" {
		return
	}
	runtime.LockOSThread()
	if err := launch(program); err != nil {
		fmt.Fprintln(os.Stderr, "soak: launch:", err)
		os.Exit(exitLaunchFailed)
	}
}

// launch sets the descriptor limit and the filter, sends the notifier to the supervisor, and executes the program.
func launch(program string) error {
	descriptors, err := strconv.ParseUint(os.Getenv(envDescriptors), 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %w", envDescriptors, err)
	}
	limit := &syscall.Rlimit{Cur: descriptors, Max: descriptors}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, limit); err != nil {
		return err
	}
	notifier, err := installFilter()
	if err != nil {
		return fmt.Errorf("filter: %w", err)
	}
	if err := unix.Sendmsg(notifierFD, []byte{0}, unix.UnixRights(notifier), nil, 0); err != nil {
		return err
	}
	unix.Close(notifier)
	unix.Close(notifierFD)
	return syscall.Exec(program, append([]string{program}, os.Args[1:]...), os.Environ())
}

// watchedCalls are the system calls for which the supervisor decides whether they fail.
var watchedCalls = []uint32{unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_ACCEPT4, unix.SYS_OPENAT}

// installFilter installs the filter on the calling thread and returns the descriptor of its notifier (seccomp(2), seccomp_unotify(2)).
func installFilter() (int, error) {
	filter := watchFilter()
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, err
	}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER,
		uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return 0, errno
	}
	return int(fd), nil
}

// watchFilter returns the filter program. Watched calls jump to its last instruction, which notifies the supervisor; other calls are
// allowed.
func watchFilter() []unix.SockFilter {
	const callNumber = 0 // offset in struct seccomp_data
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: callNumber}}
	for i, call := range watchedCalls {
		jump := uint8(len(watchedCalls) - i)
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: call, Jt: jump})
	}
	allow := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW}
	notify := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF}
	return append(filter, allow, notify)
}
