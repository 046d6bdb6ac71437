// Package socket checks whether idle network connections are still usable.
//
// # Usage
//
//	if !socket.IsIdle(conn) {
//		// The peer closed the connection or sent unexpected data.
//	}
package socket

import (
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and has no data to read. It
// doesn't block and ignores the connection's deadlines. A connection that isn't
// itself a socket, such as a TLS connection, is reported as idle.
func IsIdle(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var buffer [1]byte
	err = control.Control(func(fd uintptr) {
		_, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
	})
	return err == nil && idle
}
