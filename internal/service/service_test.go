package service

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestStateDirectoryIsHeldByOne(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s, err := AcquireStateDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := AcquireStateDir(dir); err == nil || !strings.Contains(err.Error(), "held by process "+strconv.Itoa(os.Getpid())) {
		t.Fatal(err)
	}
	s.Release()
	again, err := AcquireStateDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	again.Release()
	if err := os.WriteFile(filepath.Join(dir, "file"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := AcquireStateDir(filepath.Join(dir, "file")); err == nil {
		t.Fatal("a file is no directory")
	}
}

func TestTwoListenAtOneAddressOnlyWhenShared(t *testing.T) {
	a, err := Listen("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := Listen(a.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	b.Close()
	if c, err := Listen(a.Addr().String(), false); err == nil {
		c.Close()
		t.Fatal("taken twice")
	}
}

func TestReadinessIsToldToTheManager(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notify")
	l, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	t.Setenv("NOTIFY_SOCKET", path)
	Notify(Ready, "STATUS=serving")
	l.SetReadDeadline(time.Now().Add(5 * time.Second))
	b := make([]byte, 100)
	n, err := l.Read(b)
	if err != nil || string(b[:n]) != "READY=1\nSTATUS=serving" {
		t.Fatalf("%q, %v", b[:n], err)
	}
	os.Unsetenv("NOTIFY_SOCKET")
	Notify(Ready) // nobody listens: no harm
}
