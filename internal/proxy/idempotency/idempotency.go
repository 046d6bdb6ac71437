// Package idempotency builds the SQL statements that make a request with an
// identifier run at most once, whichever proxy receives it and however often it
// is sent.
//
// # Usage
//
//	record := idempotency.Record{ID: "payment-7", Fingerprint: fingerprint}
//	// In one transaction of the caller's database:
//	record.BeginSQL("")   // fails with StateUnique if the identifier exists
//	...                   // the caller's request
//	record.CommitSQL(idempotency.Outcome{Tag: tag, Rows: rows})
//
// The identifier is inserted into Table in the same transaction as the request,
// so either both are committed or neither, and a failover keeps both or
// neither. If the request is sent again, the insert fails and the caller
// receives the first outcome again. Before that, TouchSQL updates the record:
// once a majority of the servers has confirmed this write, it has also confirmed
// the first one, which precedes it in the log.
package idempotency

import (
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	// Table is the name of the table of identifiers.
	Table = "burdockwood_requests"

	// StateUnique is the SQLSTATE of a unique violation: the identifier is
	// already in the table.
	StateUnique = "23505"
	// StateNoTable is the SQLSTATE of a missing table.
	StateNoTable = "42P01"

	// MaxRowBytes is the maximum length in bytes of the rows that an outcome
	// keeps.
	MaxRowBytes = 16 << 10

	// CreateTable creates the table. Its rows may be deleted once no caller
	// sends their identifiers again.
	CreateTable = "CREATE TABLE IF NOT EXISTS " + Table + " (id text PRIMARY KEY, request text NOT NULL, " +
		"tag text NOT NULL, rows text NOT NULL DEFAULT '', answers integer NOT NULL, created timestamp DEFAULT CURRENT_TIMESTAMP)"
)

type (
	// Record is the table row of a request.
	Record struct {
		ID string
		// Fingerprint is a hash of the request. It detects an identifier that
		// is reused for another request.
		Fingerprint string
	}

	// Outcome is the first outcome of a request.
	Outcome struct {
		// Tag is the command tag.
		Tag string
		// Rows holds the RowDescription and DataRow messages as they were sent;
		// empty if there were none or they exceed MaxRowBytes.
		Rows []byte
	}
)

// BeginSQL returns the statements that begin a transaction and insert the
// identifier. tag is the command tag to record, or empty if CommitSQL sets it.
func (r Record) BeginSQL(tag string) string {
	return "BEGIN; " + r.InsertSQL(tag)
}

// InsertSQL returns the statement that inserts the identifier within an open
// transaction.
func (r Record) InsertSQL(tag string) string {
	return fmt.Sprintf("INSERT INTO %s (id, request, tag, answers) VALUES (%s, %s, %s, 1)",
		Table, quote(r.ID), quote(r.Fingerprint), quote(tag))
}

// CommitSQL returns the statements that record the first outcome and commit.
func (r Record) CommitSQL(outcome Outcome) string {
	return fmt.Sprintf("UPDATE %s SET tag = %s, rows = '%s' WHERE id = %s; COMMIT",
		Table, quote(outcome.Tag), hex.EncodeToString(outcome.Rows), quote(r.ID))
}

// TouchSQL returns the statement that counts another response. Its commit comes
// after the first one in the server's log.
func (r Record) TouchSQL() string {
	return fmt.Sprintf("UPDATE %s SET answers = answers + 1 WHERE id = %s", Table, quote(r.ID))
}

// SelectSQL returns the query whose row ParseRow decodes.
func (r Record) SelectSQL() string {
	return fmt.Sprintf("SELECT request, tag, rows FROM %s WHERE id = %s", Table, quote(r.ID))
}

// ParseRow decodes the row that SelectSQL returned into the fingerprint of the
// first request and its outcome. ok is false if the row is malformed.
func ParseRow(row []string) (fingerprint string, outcome Outcome, ok bool) {
	if len(row) != 3 {
		return "", Outcome{}, false
	}
	rows, err := hex.DecodeString(row[2])
	return row[0], Outcome{Tag: row[1], Rows: rows}, err == nil
}

// quote returns text as an SQL string literal. Zero bytes, which aren't valid
// in a literal, are removed; a backslash has no special meaning.
func quote(text string) string {
	return "'" + strings.ReplaceAll(strings.ReplaceAll(text, "\x00", ""), "'", "''") + "'"
}
