// Package socket checks, without blocking, whether network connections are still open.
//
// # Usage
//
//	if !socket.IsIdle(conn) {
//		// The peer closed the connection or sent unexpected data.
//	}
//	if socket.IsClosed(conn) {
//		// The peer closed the connection.
//	}
package socket

import (
	"errors"
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and has no data to read. It
// doesn't block and ignores the connection's deadlines. A connection that isn't
// itself a socket, such as a TLS connection, is reported as idle.
func IsIdle(c net.Conn) bool {
	if _, isSocket := c.(syscall.Conn); !isSocket {
		return true
	}
	_, err := peek(c)
	return isWouldBlock(err)
}

// IsClosed reports whether the peer has closed or reset a connection and all that it
// sent before has been read. It doesn't block and ignores the connection's deadlines. A
// connection that isn't itself a socket is reported as open.
func IsClosed(c net.Conn) bool {
	if _, isSocket := c.(syscall.Conn); !isSocket {
		return false
	}
	n, err := peek(c)
	return n <= 0 && !isWouldBlock(err)
}

// peek returns the number of bytes, at most 1, that can be read from a socket at once;
// 0 without an error: the peer has closed it.
func peek(c net.Conn) (int, error) {
	control, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var buffer [1]byte
	n, peekErr := 0, error(nil)
	err = control.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peekErr)
}

func isWouldBlock(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
}
