package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	strongDatabase  = "payments"
	ownDatabase     = "invoices"
	boundedDatabase = "balances"
)

type (
	// client is a client's session.
	client struct {
		conn   net.Conn
		reader *bufio.Reader
	}

	// result is the answer to a statement.
	result struct {
		rows int
		// lastRow is the last row, unless it is long.
		lastRow, code, text, signature, state string
	}
)

// connect opens a session.
func connect(address, database, who string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10)}
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, who); err != nil {
		return nil, c.closed(err)
	}
	line, err := readMessage(c.reader)
	if err != nil {
		return nil, c.closed(err)
	}
	if !strings.HasPrefix(line, "READY I") {
		return nil, c.closed(fmt.Errorf("START was answered with %q", line))
	}
	return c, nil
}

// closed closes the session and returns err.
func (c *client) closed(err error) error {
	_ = c.conn.Close() // the session has failed already
	return err
}

func (c *client) close() { _ = c.closed(nil) }

// query sends a statement and reads its whole answer.
func (c *client) query(id, text string, timeout time.Duration) (result, error) {
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return result{}, err
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return result{}, err
	}
	var r result
	for {
		line, err := readMessage(c.reader)
		if err != nil {
			return r, err
		}
		verb, rest, _ := strings.Cut(line, " ")
		switch verb {
		case "ROW":
			r.rows++
			if len(rest) < 256 {
				r.lastRow = rest
			}
		case "DONE":
			r.signature = rest
		case "ERROR":
			r.code, r.text, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r, nil
		}
	}
}
