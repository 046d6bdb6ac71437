// Package socket looks at open connections.
//
// # Usage
//
//	if !socket.IsQuiet(conn) {
//		// the other end closed it, or sent something unasked
//	}
package socket

import (
	"net"
	"syscall"
)

// IsIdle looks at a socket without waiting: true if it is open and has
// nothing to read. Deadlines of the connection don't matter. One that isn't a
// socket of its own counts as quiet.
func IsIdle(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = control.Control(func(fd uintptr) {
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}
