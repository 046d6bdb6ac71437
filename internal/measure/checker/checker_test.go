package checker_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/checker"
	"github.com/burdockwood/burdockwood/internal/measure/history"
)

// offset returns an offset from the start of a run.
func offset(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// write returns a write of session 1; its times are in ms.
func write(id string, sequence int64, invoke, ret int, outcome history.Outcome) history.Operation {
	return history.Operation{ID: id, Echo: id, Kind: history.Write, Session: 1, Member: 1, Sequence: sequence,
		Invoke: offset(invoke), Return: offset(ret), Outcome: outcome}
}

// read returns a successful read of member 1, whose rows session 1 writes. It's
// sent at invoke, in ms.
func read(session int, sequence int64, invoke int, age time.Duration) history.Operation {
	return history.Operation{ID: "r", Echo: "r", Kind: history.BoundedStaleness, Session: session, Member: 1, Sequence: sequence,
		Invoke: offset(invoke), Return: offset(invoke + 1), Outcome: history.Done, MaxAge: age}
}

// transaction returns a transaction of session 1.
func transaction(id string, ownRowsSeen int, outcome history.Outcome) history.Operation {
	o := write(id, 1, 0, 10, outcome)
	o.Kind, o.OwnRowsSeen = history.Transaction, ownRowsSeen
	return o
}

// with returns a changed copy of an operation.
func with(o history.Operation, change func(*history.Operation)) history.Operation {
	change(&o)
	return o
}

// TestCheck checks the findings about histories of one to three operations.
func TestCheck(t *testing.T) {
	done := write("a", 1, 0, 10, history.Done)
	row := checker.Row{Request: "a"}
	first, second := checker.Row{Request: "a", Part: 1}, checker.Row{Request: "a", Part: 2}
	tests := []struct {
		name       string
		operations []history.Operation
		rows       []checker.Row
		want       checker.Findings
	}{
		{name: "stored write", operations: []history.Operation{done}, rows: []checker.Row{row}},
		{name: "lost write", operations: []history.Operation{done}, want: checker.Findings{Lost: 1}},
		{name: "unknown write that did not run", operations: []history.Operation{write("a", 1, 0, 10, history.Unknown)}},
		{name: "unknown write that ran", operations: []history.Operation{write("a", 1, 0, 10, history.Unknown)}, rows: []checker.Row{row}},
		{name: "duplicated write", operations: []history.Operation{done}, rows: []checker.Row{row, row}, want: checker.Findings{Doubled: 1}},
		{name: "duplicated unknown write", operations: []history.Operation{write("a", 1, 0, 10, history.Unknown)},
			rows: []checker.Row{row, row}, want: checker.Findings{Doubled: 1}},
		{name: "refused write that ran", operations: []history.Operation{write("a", 1, 0, 10, history.NotRun)},
			rows: []checker.Row{row}, want: checker.Findings{FalseNotRun: 1}},
		{name: "failed write that ran", operations: []history.Operation{write("a", 1, 0, 10, history.Failed)},
			rows: []checker.Row{row}, want: checker.Findings{FalseNotRun: 1}},
		{name: "read sees its own write", operations: []history.Operation{done, read(1, 1, 11, 0)}, rows: []checker.Row{row}},
		{name: "read misses its own write", operations: []history.Operation{done, read(1, 0, 11, 0)}, rows: []checker.Row{row},
			want: checker.Findings{StaleReads: 1}},
		{name: "read misses its own write younger than the stated age", operations: []history.Operation{done, read(1, 0, 11, offset(5000))}, rows: []checker.Row{row},
			want: checker.Findings{StaleReads: 1}},
		{name: "read during its own write", operations: []history.Operation{done, read(1, 0, 9, 0)}, rows: []checker.Row{row}},
		{name: "read misses another session's write younger than the stated age", operations: []history.Operation{done, read(2, 0, 109, offset(100))}, rows: []checker.Row{row}},
		{name: "read misses another session's write as old as the stated age", operations: []history.Operation{done, read(2, 0, 110, offset(100))}, rows: []checker.Row{row},
			want: checker.Findings{StaleReads: 1}},
		{name: "read misses a write acknowledged before an earlier one", operations: []history.Operation{
			write("a", 2, 0, 10, history.Done), write("b", 1, 0, 20, history.Done), read(1, 1, 30, 0)},
			rows: []checker.Row{row, {Request: "b"}}, want: checker.Findings{StaleReads: 1}},
		{name: "response to another request", operations: []history.Operation{with(done, func(o *history.Operation) { o.Echo = "b" })},
			rows: []checker.Row{row}, want: checker.Findings{Mixed: 1}},
		{name: "stored transaction", operations: []history.Operation{transaction("a", 1, history.Done)}, rows: []checker.Row{first, second}},
		{name: "acknowledged transaction with one of two rows", operations: []history.Operation{transaction("a", 1, history.Done)}, rows: []checker.Row{first},
			want: checker.Findings{Lost: 1, Mixed: 1}},
		{name: "unknown transaction with one of two rows", operations: []history.Operation{transaction("a", 1, history.Unknown)}, rows: []checker.Row{second},
			want: checker.Findings{Mixed: 1}},
		{name: "transaction that misses its own row", operations: []history.Operation{transaction("a", 0, history.Done)}, rows: []checker.Row{first, second},
			want: checker.Findings{Mixed: 1}},
		{name: "read sees one of two rows of a transaction", operations: []history.Operation{with(read(2, 0, 5, 0), func(o *history.Operation) { o.TransactionRowsSeen = 3 })},
			want: checker.Findings{Mixed: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := checker.Check(test.operations, test.rows)
			if len(got.Examples) != got.Total() {
				t.Errorf("got %d examples of %d findings", len(got.Examples), got.Total())
			}
			got.Examples = nil
			if g, w := counts(got), counts(test.want); g != w {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// counts returns the counts of findings in a form that can be compared.
func counts(f checker.Findings) [5]int {
	return [5]int{f.Lost, f.Doubled, f.StaleReads, f.FalseNotRun, f.Mixed}
}
