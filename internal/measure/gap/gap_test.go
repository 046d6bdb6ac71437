package gap_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/gap"
	"github.com/burdockwood/burdockwood/internal/measure/history"
)

// write returns a write; its times are in ms.
func write(invoke, ret int, outcome history.Outcome) history.Operation {
	return history.Operation{Kind: history.Write, Outcome: outcome,
		Invoke: time.Duration(invoke) * time.Millisecond, Return: time.Duration(ret) * time.Millisecond}
}

// TestLongest checks that a gap needs writes that couldn't succeed: a time in which
// callers sent no writes isn't one.
func TestLongest(t *testing.T) {
	const faultAt = 100 * time.Millisecond
	tests := []struct {
		name       string
		operations []history.Operation
		want       time.Duration
		ended      bool
	}{
		{name: "refused writes", want: 180 * time.Millisecond, ended: true, operations: []history.Operation{
			write(80, 90, history.Done), write(120, 130, history.NotRun), write(200, 210, history.NotRun), write(290, 300, history.Done)}},
		{name: "write that waits for the new primary", want: 190 * time.Millisecond, ended: true, operations: []history.Operation{
			write(80, 90, history.Done), write(110, 300, history.Done), write(290, 310, history.Done)}},
		{name: "write in flight at the fault", want: 200 * time.Millisecond, ended: true, operations: []history.Operation{
			write(70, 90, history.Done), write(95, 150, history.Unknown), write(290, 300, history.Done)}},
		{name: "no writes sent meanwhile", want: 10 * time.Millisecond, ended: true, operations: []history.Operation{
			write(80, 90, history.Done), write(290, 300, history.Done)}},
		{name: "later and longer time without writes", want: 40 * time.Millisecond, ended: true, operations: []history.Operation{
			write(80, 90, history.Done), write(110, 115, history.NotRun), write(140, 150, history.Done), write(395, 400, history.Done)}},
		{name: "no write succeeds after the fault", operations: []history.Operation{
			write(80, 90, history.Done), write(120, 500, history.Unknown)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ended := gap.Longest(test.operations, faultAt)
			if got != test.want || ended != test.ended {
				t.Errorf("got %v, %v, want %v, %v", got, ended, test.want, test.ended)
			}
		})
	}
}
