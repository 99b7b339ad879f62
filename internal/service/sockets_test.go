package service

import (
	"testing"
)

func TestTwoListenersShareAddressOnlyWhenAllowed(t *testing.T) {
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
		t.Fatal("a second listener opened the address without sharing it")
	}
}
