package socket

import (
	"net"
	"testing"
	"time"
)

func TestIsIdleAndIsClosed(t *testing.T) {
	tests := []struct {
		name                 string
		act                  func(peer net.Conn) error
		wantIdle, wantClosed bool
	}{
		{"open", func(net.Conn) error { return nil }, true, false},
		{"data to read", func(peer net.Conn) error { _, err := peer.Write([]byte("x")); return err }, false, false},
		{"closed", func(peer net.Conn) error { return peer.Close() }, false, true},
		{"reset", func(peer net.Conn) error {
			if err := peer.(*net.TCPConn).SetLinger(0); err != nil {
				return err
			}
			return peer.Close()
		}, false, true},
	}
	for _, test := range tests {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peer, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if err := test.act(peer); err != nil {
			t.Fatal(err)
		}
		for range 200 {
			if IsIdle(conn) == test.wantIdle && IsClosed(conn) == test.wantClosed {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if gotIdle, gotClosed := IsIdle(conn), IsClosed(conn); gotIdle != test.wantIdle || gotClosed != test.wantClosed {
			t.Errorf("%s: got idle %v, closed %v, want %v, %v", test.name, gotIdle, gotClosed, test.wantIdle, test.wantClosed)
		}
		conn.Close()
		listener.Close()
	}
	first, second := net.Pipe()
	defer first.Close()
	second.Close()
	if !IsIdle(first) || IsClosed(first) {
		t.Error("got a connection without a socket not idle or closed, want it idle and open")
	}
}
