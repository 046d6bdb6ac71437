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
//	record.Commit(idempotency.Outcome{Tag: tag, Rows: rows})
//
// The identifier is recorded in the table Table, in the same transaction as
// the request, so both are committed or neither is, and a failover keeps both
// or neither. A resend finds the record and is answered with the first
// outcome. It touches the record, so that the confirmation of that write
// confirms the first one too.
package idempotency

import (
	"encoding/hex"
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

	// MaxRowBytes is the length in bytes of rows that are kept.
	MaxRowBytes = 16 << 10

	// CreateTable makes the table on demand. Rows may be deleted once no
	// caller sends their identifier again.
	CreateTable = "CREATE TABLE IF NOT EXISTS " + Table + " (id text PRIMARY KEY, request text NOT NULL, " +
		"tag text NOT NULL, rows text NOT NULL DEFAULT '', answers integer NOT NULL, created timestamp DEFAULT CURRENT_TIMESTAMP)"
)

type (
	// Record is a request's entry in the table.
	Record struct {
		ID string
		// Fingerprint is a fingerprint of the request, so that one identifier
		// isn't used for two requests.
		Fingerprint string
	}

	// Outcome is the first outcome of a request.
	Outcome struct {
		// Tag is the command tag.
		Tag string
		// Rows are the messages that described and carried the rows, as they
		// went over the wire; empty if there were none, or too many.
		Rows []byte
	}
)

// BeginSQL opens the transaction and records the identifier. tag is the command
// tag of a transaction that only ends later.
func (r Record) BeginSQL(tag string) string {
	return "BEGIN; " + r.InsertSQL(tag)
}

// InsertSQL records the identifier in an open transaction.
func (r Record) InsertSQL(tag string) string {
	return fmt.Sprintf("INSERT INTO %s (id, request, tag, answers) VALUES (%s, %s, %s, 1)",
		Table, quote(r.ID), quote(r.Fingerprint), quote(tag))
}

// CommitSQL records the first outcome and commits.
func (r Record) CommitSQL(outcome Outcome) string {
	return fmt.Sprintf("UPDATE %s SET tag = %s, rows = '%s' WHERE id = %s; COMMIT",
		Table, quote(outcome.Tag), hex.EncodeToString(outcome.Rows), quote(r.ID))
}

// TouchSQL counts another answer. Its commit lies after the first one's.
func (r Record) TouchSQL() string {
	return fmt.Sprintf("UPDATE %s SET answers = answers + 1 WHERE id = %s", Table, quote(r.ID))
}

// SelectSQL selects what Read takes.
func (r Record) SelectSQL() string {
	return fmt.Sprintf("SELECT request, tag, rows FROM %s WHERE id = %s", Table, quote(r.ID))
}

// ParseRow takes the row that Find selected. It returns the fingerprint of the
// first request and its outcome; ok is false if the row has another shape.
func ParseRow(row []string) (request string, outcome Outcome, ok bool) {
	if len(row) != 3 {
		return "", Outcome{}, false
	}
	rows, err := hex.DecodeString(row[2])
	return row[0], Outcome{Tag: row[1], Rows: rows}, err == nil
}

// quote writes a literal. Identifiers may not hold a zero byte; a backslash
// has no meaning in it.
func quote(text string) string {
	return "'" + strings.ReplaceAll(strings.ReplaceAll(text, "\x00", ""), "'", "''") + "'"
}
