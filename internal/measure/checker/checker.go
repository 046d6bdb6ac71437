// Package checker compares the history of a run with the rows that are left
// at its end and names every broken promise.
//
// # Usage
//
//	findings := checker.Check(operations, rows)
//	if findings.Total() > 0 {
//		fmt.Println(findings.Examples)
//	}
//
// The rows come from the group's primary after the run has settled.
package checker

import (
	"fmt"
	"sort"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/history"
)

const maxExamples = 20

type (
	// Row is a row at the end of the run.
	Row struct {
		// Request is the identifier of the operation that added it.
		Request string
		// Part is 1 or 2 for the rows of a transaction, 0 for a write.
		Part int
	}

	// Findings count broken promises.
	Findings struct {
		// Lost counts acknowledged operations whose rows are absent.
		Lost int `json:"lost"`
		// Doubled counts operations whose rows are there more than once.
		Doubled int `json:"doubled"`
		// StaleReads counts reads that miss a write they had to see.
		StaleReads int `json:"stale-reads"`
		// FalseNotRun counts operations refused as not run that ran.
		FalseNotRun int `json:"false-not-run"`
		// Mixed counts answers of other requests and transactions of which
		// a part was seen.
		Mixed int `json:"mixed"`
		// Examples describe the first findings.
		Examples []string `json:"examples,omitempty"`
	}

	// acknowledged is a write that was answered.
	acknowledged struct {
		sequence int64
		at       time.Duration
	}

	check struct {
		findings Findings
		rows     map[Row]int
		// acks holds, for each member, the answered writes by time, with
		// sequences that never go down.
		acks map[int][]acknowledged
	}
)

// Total returns the number of findings.
func (f Findings) Total() int {
	return f.Lost + f.Doubled + f.StaleReads + f.FalseNotRun + f.Mixed
}

// Plus returns the sum of two runs' findings.
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

// Check returns every finding about a run.
func Check(operations []history.Operation, rows []Row) Findings {
	c := &check{rows: make(map[Row]int), acks: acksOf(operations)}
	for _, row := range rows {
		c.rows[row]++
	}
	for _, o := range operations {
		c.echo(o)
		if o.Kind.IsRead() {
			c.read(o)
		} else {
			c.written(o)
		}
	}
	return c.findings
}

func acksOf(operations []history.Operation) map[int][]acknowledged {
	acks := make(map[int][]acknowledged)
	for _, o := range operations {
		if !o.Kind.IsRead() && o.Outcome == history.Done {
			acks[o.Member] = append(acks[o.Member], acknowledged{sequence: o.Sequence, at: o.Return})
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

// echo finds answers that belong to another request.
func (c *check) echo(o history.Operation) {
	if o.Outcome == history.Done && o.Echo != o.ID {
		c.note(&c.findings.Mixed, "mixed: %s got the answer of %q", o.ID, o.Echo)
	}
}

func (c *check) read(o history.Operation) {
	if o.Outcome != history.Done {
		return
	}
	if o.TransactionRowsSeen%2 != 0 {
		c.note(&c.findings.Mixed, "mixed: read %s saw %d rows of transactions of two", o.ID, o.TransactionRowsSeen)
	}
	if want := c.mustSee(o); o.Sequence < want {
		c.note(&c.findings.StaleReads, "stale: %s %s of session %d at proxy %d, %v to %v, age %v, saw %d of member %d, want %d",
			o.Kind, o.ID, o.Session, o.Proxy, o.Invoke, o.Return, o.MaxAge, o.Sequence, o.Member, want)
	}
}

// mustSee returns the lowest sequence that a read may answer: the session's
// own writes always, those of others if they are older than the stated age.
func (c *check) mustSee(o history.Operation) int64 {
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

func (c *check) written(o history.Operation) {
	least, most := c.copies(o)
	switch {
	case o.Outcome == history.Done && least == 0:
		c.note(&c.findings.Lost, "lost: %s of member %d sequence %d, answered at %v", o.ID, o.Member, o.Sequence, o.Return)
	case (o.Outcome == history.NotRun || o.Outcome == history.NotSent) && most > 0:
		c.note(&c.findings.FalseNotRun, "false not-run: %s of member %d sequence %d: %s", o.ID, o.Member, o.Sequence, o.Reason)
	case o.Outcome == history.Failed && most > 0:
		c.note(&c.findings.FalseNotRun, "ran in spite of an error: %s of member %d sequence %d: %s", o.ID, o.Member, o.Sequence, o.Reason)
	}
	if most > 1 {
		c.note(&c.findings.Doubled, "doubled: %s is there %d times, outcome %s", o.ID, most, o.Outcome)
	}
	if least != most && o.Kind == history.Transaction {
		c.note(&c.findings.Mixed, "mixed: a part of transaction %s is there, outcome %s", o.ID, o.Outcome)
	}
	if o.Kind == history.Transaction && o.Outcome == history.Done && o.OwnRowsSeen != 1 {
		c.note(&c.findings.Mixed, "mixed: transaction %s saw %d of its rows after its first", o.ID, o.OwnRowsSeen)
	}
}

// copies returns how often the rows of an operation are there, for its
// rarest and its most frequent row.
func (c *check) copies(o history.Operation) (least, most int) {
	if o.Kind == history.Write {
		n := c.rows[Row{Request: o.ID}]
		return n, n
	}
	first, second := c.rows[Row{Request: o.ID, Part: 1}], c.rows[Row{Request: o.ID, Part: 2}]
	return min(first, second), max(first, second)
}

func (c *check) note(counter *int, format string, arguments ...any) {
	*counter++
	if len(c.findings.Examples) < maxExamples {
		c.findings.Examples = append(c.findings.Examples, fmt.Sprintf(format, arguments...))
	}
}
