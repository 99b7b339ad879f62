package http1

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose next accepts fail with err. failures is the number of accepts that are still to fail. beforeAccept,
// if set, is called before each accept.
type failingListener struct {
	*net.TCPListener
	failures     atomic.Int32
	err          syscall.Errno
	beforeAccept func()
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.beforeAccept != nil {
		l.beforeAccept()
	}
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.TCPListener.Accept()
}

func newFailingListener(t *testing.T, failures int32, err syscall.Errno) *failingListener {
	t.Helper()
	l, lerr := net.Listen("tcp", "127.0.0.1:0")
	if lerr != nil {
		t.Fatal(lerr)
	}
	f := &failingListener{TCPListener: l.(*net.TCPListener), err: err}
	f.failures.Store(failures)
	return f
}

// get sends one request on a new connection.
func get(address string) (status int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := c.Write([]byte(getHead + "\r\n")); err != nil {
		return 0, err
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

var okHandler = HandlerFunc(func(x *Exchange) { x.Reply(200, nil, nil) })

// Serve retries a failed accept whatever its error. Only EMFILE, the limit of the process itself, is reported to OnDescriptorShortage.
func TestAcceptRetriesAfterFailures(t *testing.T) {
	for _, c := range []struct {
		err              syscall.Errno
		shortageReported bool
	}{{syscall.EMFILE, true}, {syscall.ENFILE, false}, {syscall.ENOBUFS, false}, {syscall.EPROTO, false}, {syscall.EPERM, false},
		{syscall.ENETDOWN, false}} {
		l := newFailingListener(t, 3, c.err)
		var shortageReported atomic.Bool
		s := &Server{Handler: okHandler, Limits: DefaultLimits, Timeouts: DefaultTimeouts,
			OnDescriptorShortage: func(int) { shortageReported.Store(true) }}
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		if status, err := get(l.Addr().String()); status != 200 {
			t.Errorf("%v: got status %d, %v", c.err, status, err)
		}
		if shortageReported.Load() != c.shortageReported {
			t.Errorf("%v: descriptor shortage reported: got %v, want %v", c.err, shortageReported.Load(), c.shortageReported)
		}
		s.Drain()
		if err := <-done; err != nil {
			t.Errorf("%v: Serve returned %v", c.err, err)
		}
		s.Close()
	}
}

// Connections that are in the listen queue when a drain stops accepting get a response. The accept loop is delayed past the deadline of
// the drain, as on a busy machine, and in one case its next accepts fail too.
func TestDrainServesConnectionsWaitingToBeAccepted(t *testing.T) {
	for _, failures := range []int32{0, 3} {
		accepting, release := make(chan struct{}), make(chan struct{})
		var once sync.Once
		l := newFailingListener(t, 0, syscall.ENFILE)
		s := &Server{Handler: okHandler, Limits: DefaultLimits, Timeouts: Timeouts{Head: time.Second, Body: time.Second, Idle: time.Second,
			Write: time.Second, DrainAccept: 20 * time.Millisecond, DrainIdle: 200 * time.Millisecond}}
		l.beforeAccept = func() {
			once.Do(func() {
				close(accepting)
				<-release
				l.failures.Store(failures)
			})
		}
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		<-accepting
		const clients = 8
		statuses := make(chan int, clients)
		var connected sync.WaitGroup
		for range clients {
			connected.Add(1)
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			c.Write([]byte(getHead + "\r\n"))
			go func() {
				connected.Done()
				defer c.Close()
				c.SetReadDeadline(time.Now().Add(10 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Errorf("%d failures: %v", failures, err)
					statuses <- 0
					return
				}
				statuses <- resp.StatusCode
			}()
		}
		connected.Wait()
		s.Drain()
		time.Sleep(50 * time.Millisecond) // DrainAccept has passed
		close(release)
		for range clients {
			if got := <-statuses; got != 200 {
				t.Errorf("%d failures: got status %d, want 200", failures, got)
			}
		}
		if err := <-done; err != nil {
			t.Errorf("Serve returned %v", err)
		}
		s.Close()
	}
}
