package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"unsafe"

	"golang.org/x/sys/unix"
)

// clockBytes is the size of a clock's file, which holds the clock's offset in nanoseconds as an int64.
const clockBytes = 8

// Clock steps the wall clock of the processes of one node. The clock's offset is in a file. The library built from testdata/clock.c maps
// this file into each process.
type Clock struct {
	path   string
	offset []byte
}

// NewClock creates a clock's file, with an offset of 0.
func NewClock(path string) (*Clock, error) {
	if err := os.WriteFile(path, make([]byte, clockBytes), 0o644); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	offset, err := unix.Mmap(int(file.Fd()), 0, clockBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	return &Clock{path: path, offset: offset}, err
}

// Step sets the clock's offset from the real time to ns nanoseconds.
func (c *Clock) Step(ns int64) { *(*int64)(unsafe.Pointer(&c.offset[0])) = ns }

// Close unmaps the file.
func (c *Clock) Close() { unix.Munmap(c.offset) }

// BuildClock compiles the C source of the library that steps clocks into the directory dir, and returns the library's path.
func BuildClock(source, dir string) (string, error) {
	library := filepath.Join(dir, "clock.so")
	out, err := exec.Command("gcc", "-O2", "-shared", "-fPIC", "-o", library, source).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("gcc: %w\n%s", err, out)
	}
	return library, nil
}
