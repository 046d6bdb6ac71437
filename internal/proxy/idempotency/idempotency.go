// Package idempotency writes the SQL by which a request that carries an
// identifier runs at most once, whichever proxy gets it and however often it
// is sent.
//
// # Usage
//
//	record := idempotency.Record{ID: "payment-7", Request: fingerprint}
//	// in one transaction of the caller's database:
//	record.Begin()      // fails with StateUnique if the identifier is known
//	...                 // the caller's request
//	record.Commit(tag)
//
// The identifier is recorded in the table Table, in the same transaction as
// the request, so both are committed or neither is, and a failover keeps both
// or neither. A resend finds the record and is answered with the first
// outcome. It touches the record, so that the confirmation of that write
// confirms the first one too.
package idempotency

import (
	"fmt"
	"strings"
)

const (
	// Table is the table that holds the identifiers.
	Table = "burdockwood_requests"

	// StateUnique is the SQLSTATE of an identifier that is recorded already.
	StateUnique = "23505"
	// StateNoTable is the SQLSTATE of a missing table.
	StateNoTable = "42P01"

	// CreateTable makes the table on demand. Rows may be deleted once no
	// caller sends their identifier again.
	CreateTable = "CREATE TABLE IF NOT EXISTS " + Table + " (id text PRIMARY KEY, request text NOT NULL, " +
		"tag text NOT NULL, answers integer NOT NULL, created timestamp DEFAULT CURRENT_TIMESTAMP)"
)

// Record is a request's entry in the table.
type Record struct {
	ID string
	// Request is a fingerprint of the request, so that one identifier isn't
	// used for two requests.
	Request string
}

// Begin opens the transaction and records the identifier. tag is the command
// tag of a transaction that only ends later.
func (r Record) Begin(tag string) string {
	return "BEGIN; " + r.Insert(tag)
}

// Insert records the identifier in an open transaction.
func (r Record) Insert(tag string) string {
	return fmt.Sprintf("INSERT INTO %s (id, request, tag, answers) VALUES (%s, %s, %s, 1)", Table, quote(r.ID), quote(r.Request), quote(tag))
}

// Commit records the first outcome and commits.
func (r Record) Commit(tag string) string {
	return fmt.Sprintf("UPDATE %s SET tag = %s WHERE id = %s; COMMIT", Table, quote(tag), quote(r.ID))
}

// Touch counts another answer. Its commit lies after the first one's.
func (r Record) Touch() string {
	return fmt.Sprintf("UPDATE %s SET answers = answers + 1 WHERE id = %s", Table, quote(r.ID))
}

// Find selects the fingerprint and the command tag.
func (r Record) Find() string {
	return fmt.Sprintf("SELECT request, tag FROM %s WHERE id = %s", Table, quote(r.ID))
}

// quote writes a literal. Identifiers may not hold a zero byte; a backslash
// has no meaning in it.
func quote(text string) string {
	return "'" + strings.ReplaceAll(strings.ReplaceAll(text, "\x00", ""), "'", "''") + "'"
}
