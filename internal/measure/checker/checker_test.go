package checker_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/checker"
	"github.com/burdockwood/burdockwood/internal/measure/history"
)

func at(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func write(id string, sequence int64, invoke, ret int, outcome history.Outcome) history.Operation {
	return history.Operation{ID: id, Echo: id, Kind: history.Write, Session: 1, Member: 1, Sequence: sequence,
		Invoke: at(invoke), Return: at(ret), Outcome: outcome}
}

func read(session int, sequence int64, invoke int, age time.Duration) history.Operation {
	return history.Operation{ID: "r", Echo: "r", Kind: history.BoundedStaleness, Session: session, Member: 1, Sequence: sequence,
		Invoke: at(invoke), Return: at(invoke + 1), Outcome: history.Done, MaxAge: age}
}

func transaction(id string, between int, outcome history.Outcome) history.Operation {
	o := write(id, 1, 0, 10, outcome)
	o.Kind, o.OwnRowsSeen = history.Transaction, between
	return o
}

func with(o history.Operation, change func(*history.Operation)) history.Operation {
	change(&o)
	return o
}

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
		{name: "good write", operations: []history.Operation{done}, rows: []checker.Row{row}},
		{name: "lost write", operations: []history.Operation{done}, want: checker.Findings{Lost: 1}},
		{name: "unknown write is absent", operations: []history.Operation{write("a", 1, 0, 10, history.Unknown)}},
		{name: "unknown write is there", operations: []history.Operation{write("a", 1, 0, 10, history.Unknown)}, rows: []checker.Row{row}},
		{name: "doubled write", operations: []history.Operation{done}, rows: []checker.Row{row, row}, want: checker.Findings{Doubled: 1}},
		{name: "doubled unknown write", operations: []history.Operation{write("a", 1, 0, 10, history.Unknown)},
			rows: []checker.Row{row, row}, want: checker.Findings{Doubled: 1}},
		{name: "refused write is there", operations: []history.Operation{write("a", 1, 0, 10, history.NotRun)},
			rows: []checker.Row{row}, want: checker.Findings{FalseNotRun: 1}},
		{name: "failed write is there", operations: []history.Operation{write("a", 1, 0, 10, history.Failed)},
			rows: []checker.Row{row}, want: checker.Findings{FalseNotRun: 1}},
		{name: "own write seen", operations: []history.Operation{done, read(1, 1, 11, 0)}, rows: []checker.Row{row}},
		{name: "own write missed", operations: []history.Operation{done, read(1, 0, 11, 0)}, rows: []checker.Row{row},
			want: checker.Findings{StaleReads: 1}},
		{name: "own write missed within the age", operations: []history.Operation{done, read(1, 0, 11, at(5000))}, rows: []checker.Row{row},
			want: checker.Findings{StaleReads: 1}},
		{name: "own write still open", operations: []history.Operation{done, read(1, 0, 9, 0)}, rows: []checker.Row{row}},
		{name: "another's write within the age", operations: []history.Operation{done, read(2, 0, 109, at(100))}, rows: []checker.Row{row}},
		{name: "another's write beyond the age", operations: []history.Operation{done, read(2, 0, 110, at(100))}, rows: []checker.Row{row},
			want: checker.Findings{StaleReads: 1}},
		{name: "an earlier write answered late", operations: []history.Operation{
			write("a", 2, 0, 10, history.Done), write("b", 1, 0, 20, history.Done), read(1, 1, 30, 0)},
			rows: []checker.Row{row, {Request: "b"}}, want: checker.Findings{StaleReads: 1}},
		{name: "another's answer", operations: []history.Operation{with(done, func(o *history.Operation) { o.Echo = "b" })},
			rows: []checker.Row{row}, want: checker.Findings{Mixed: 1}},
		{name: "whole transaction", operations: []history.Operation{transaction("a", 1, history.Done)}, rows: []checker.Row{first, second}},
		{name: "lost half of a transaction", operations: []history.Operation{transaction("a", 1, history.Done)}, rows: []checker.Row{first},
			want: checker.Findings{Lost: 1, Mixed: 1}},
		{name: "half of an unknown transaction", operations: []history.Operation{transaction("a", 1, history.Unknown)}, rows: []checker.Row{second},
			want: checker.Findings{Mixed: 1}},
		{name: "transaction without its own row", operations: []history.Operation{transaction("a", 0, history.Done)}, rows: []checker.Row{first, second},
			want: checker.Findings{Mixed: 1}},
		{name: "open transaction seen", operations: []history.Operation{with(read(2, 0, 5, 0), func(o *history.Operation) { o.TransactionRowsSeen = 3 })},
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

func counts(f checker.Findings) [5]int {
	return [5]int{f.Lost, f.Doubled, f.StaleReads, f.FalseNotRun, f.Mixed}
}
