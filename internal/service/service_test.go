package service

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestNotifySendsReadiness(t *testing.T) {
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
		t.Fatalf("got notification %q and error %v", b[:n], err)
	}
	os.Unsetenv("NOTIFY_SOCKET")
	Notify(Ready) // without a service manager it does nothing
}
