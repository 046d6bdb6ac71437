// Package checker finds consistency violations: it compares the history of a run
// with the rows that are stored at its end.
//
// # Usage
//
//	findings := checker.Check(operations, rows)
//	if findings.Total() > 0 {
//		fmt.Println(findings.Examples)
//	}
//
// The rows are read from the group's primary after all faults have ended and the
// replicas have caught up.
package checker

import (
	"fmt"
	"sort"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/history"
)

// maxExamples is the number of findings that are described.
const maxExamples = 20

type (
	// Row identifies a row that is stored at the end of the run.
	Row struct {
		// Request is the ID of the operation that inserted it.
		Request string
		// Part is 1 or 2 for the rows of a transaction, 0 for that of a write.
		Part int
	}

	// Findings are the consistency violations of one or more runs, counted by
	// kind.
	Findings struct {
		// Lost counts acknowledged operations with a row that isn't stored.
		Lost int `json:"lost"`
		// Doubled counts operations with a row that is stored more than once.
		Doubled int `json:"doubled"`
		// StaleReads counts reads that missed a write which they had to see.
		StaleReads int `json:"stale-reads"`
		// FalseNotRun counts operations that left rows although their outcome
		// was NotRun, NotSent or Failed.
		FalseNotRun int `json:"false-not-run"`
		// Mixed counts responses to other requests and transactions that weren't
		// atomic or isolated.
		Mixed int `json:"mixed"`
		// Examples describe the first findings, at most 20.
		Examples []string `json:"examples,omitempty"`
	}

	// acknowledgedWrite is a write or transaction with the outcome Done.
	acknowledgedWrite struct {
		sequence int64
		at       time.Duration
	}

	// check is the state of a call of Check.
	check struct {
		findings Findings
		rows     map[Row]int
		// acks holds each member's acknowledged writes, ordered by time. The
		// sequence of each is the highest that was acknowledged until then.
		acks map[int][]acknowledgedWrite
	}
)

// Total returns the number of findings.
func (f Findings) Total() int {
	return f.Lost + f.Doubled + f.StaleReads + f.FalseNotRun + f.Mixed
}

// Plus returns the sum of f and o, with at most 20 examples.
func (f Findings) Plus(o Findings) Findings {
	f.Lost += o.Lost
	f.Doubled += o.Doubled
	f.StaleReads += o.StaleReads
	f.FalseNotRun += o.FalseNotRun
	f.Mixed += o.Mixed
	f.Examples = append(f.Examples, o.Examples...)
	f.Examples = f.Examples[:min(len(f.Examples), maxExamples)]
	return f
}

// Check returns the consistency violations of a run, given its operations and the
// rows that are stored at its end.
func Check(operations []history.Operation, rows []Row) Findings {
	c := &check{rows: make(map[Row]int), acks: acknowledgedWrites(operations)}
	for _, row := range rows {
		c.rows[row]++
	}
	for _, o := range operations {
		c.checkEcho(o)
		if o.Kind.IsRead() {
			c.checkRead(o)
		} else {
			c.checkWrite(o)
		}
	}
	return c.findings
}

// acknowledgedWrites returns the acknowledged writes of each member, as the field
// check.acks holds them.
func acknowledgedWrites(operations []history.Operation) map[int][]acknowledgedWrite {
	acks := make(map[int][]acknowledgedWrite)
	for _, o := range operations {
		if !o.Kind.IsRead() && o.Outcome == history.Done {
			acks[o.Member] = append(acks[o.Member], acknowledgedWrite{sequence: o.Sequence, at: o.Return})
		}
	}
	for _, list := range acks {
		sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
		for i := 1; i < len(list); i++ {
			list[i].sequence = max(list[i].sequence, list[i-1].sequence)
		}
	}
	return acks
}

// checkEcho finds responses that belong to another request.
func (c *check) checkEcho(o history.Operation) {
	if o.Outcome == history.Done && o.Echo != o.ID {
		c.addFinding(&c.findings.Mixed, "mixed: %s got the response to %q", o.ID, o.Echo)
	}
}

// checkRead finds a read that saw a part of a transaction or missed a write which
// it had to see.
func (c *check) checkRead(o history.Operation) {
	if o.Outcome != history.Done {
		return
	}
	if o.TransactionRowsSeen%2 != 0 {
		c.addFinding(&c.findings.Mixed, "mixed: read %s saw %d rows of transactions that insert two", o.ID, o.TransactionRowsSeen)
	}
	if want := c.requiredSequence(o); o.Sequence < want {
		c.addFinding(&c.findings.StaleReads, "stale: %s %s of session %d at proxy %d, %v to %v, age %v, saw %d of member %d, want %d",
			o.Kind, o.ID, o.Session, o.Proxy, o.Invoke, o.Return, o.MaxAge, o.Sequence, o.Member, want)
	}
}

// requiredSequence returns the lowest sequence that a read may return. It must see
// its session's own writes that were acknowledged before it was sent, and those of
// other sessions that were acknowledged at least the stated age before that.
func (c *check) requiredSequence(o history.Operation) int64 {
	at := o.Invoke
	if o.Member != o.Session {
		at -= o.MaxAge
	}
	list := c.acks[o.Member]
	n := sort.Search(len(list), func(i int) bool { return list[i].at > at })
	if n == 0 {
		return 0
	}
	return list[n-1].sequence
}

// checkWrite compares the outcome of a write or transaction with its rows.
func (c *check) checkWrite(o history.Operation) {
	least, most := c.rowCounts(o)
	switch {
	case o.Outcome == history.Done && least == 0:
		c.addFinding(&c.findings.Lost, "lost: %s of member %d sequence %d, acknowledged at %v", o.ID, o.Member, o.Sequence, o.Return)
	case (o.Outcome == history.NotRun || o.Outcome == history.NotSent) && most > 0:
		c.addFinding(&c.findings.FalseNotRun, "false not-run: %s of member %d sequence %d: %s", o.ID, o.Member, o.Sequence, o.Reason)
	case o.Outcome == history.Failed && most > 0:
		c.addFinding(&c.findings.FalseNotRun, "ran in spite of an error: %s of member %d sequence %d: %s", o.ID, o.Member, o.Sequence, o.Reason)
	}
	if most > 1 {
		c.addFinding(&c.findings.Doubled, "doubled: %s is stored %d times, outcome %s", o.ID, most, o.Outcome)
	}
	if least != most && o.Kind == history.Transaction {
		c.addFinding(&c.findings.Mixed, "mixed: a part of transaction %s is stored, outcome %s", o.ID, o.Outcome)
	}
	if o.Kind == history.Transaction && o.Outcome == history.Done && o.OwnRowsSeen != 1 {
		c.addFinding(&c.findings.Mixed, "mixed: transaction %s saw %d of its rows after its first", o.ID, o.OwnRowsSeen)
	}
}

// rowCounts returns how often the rows of an operation are stored: the count of
// its least frequent and of its most frequent row.
func (c *check) rowCounts(o history.Operation) (least, most int) {
	if o.Kind == history.Write {
		n := c.rows[Row{Request: o.ID}]
		return n, n
	}
	first, second := c.rows[Row{Request: o.ID, Part: 1}], c.rows[Row{Request: o.ID, Part: 2}]
	return min(first, second), max(first, second)
}

// addFinding counts a finding and describes it if it's one of the first.
func (c *check) addFinding(counter *int, format string, arguments ...any) {
	*counter++
	if len(c.findings.Examples) < maxExamples {
		c.findings.Examples = append(c.findings.Examples, fmt.Sprintf(format, arguments...))
	}
}
