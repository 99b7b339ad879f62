package service

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

func TestStateDirIsHeldByOneProcess(t *testing.T) {
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
		t.Fatal("a regular file was acquired as a state directory")
	}
}
