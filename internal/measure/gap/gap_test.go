package gap_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/gap"
	"github.com/burdockwood/burdockwood/internal/measure/history"
)

func write(invoke, ret int, outcome history.Outcome) history.Operation {
	return history.Operation{Kind: history.Write, Outcome: outcome,
		Invoke: time.Duration(invoke) * time.Millisecond, Return: time.Duration(ret) * time.Millisecond}
}

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
		{name: "held write", want: 190 * time.Millisecond, ended: true, operations: []history.Operation{
			write(80, 90, history.Done), write(110, 300, history.Done), write(290, 310, history.Done)}},
		{name: "in flight at the fault", want: 200 * time.Millisecond, ended: true, operations: []history.Operation{
			write(70, 90, history.Done), write(95, 150, history.Unknown), write(290, 300, history.Done)}},
		{name: "a pause between callers only", want: 10 * time.Millisecond, ended: true, operations: []history.Operation{
			write(80, 90, history.Done), write(290, 300, history.Done)}},
		{name: "a longer pause between callers later", want: 40 * time.Millisecond, ended: true, operations: []history.Operation{
			write(80, 90, history.Done), write(110, 115, history.NotRun), write(140, 150, history.Done), write(395, 400, history.Done)}},
		{name: "no write lands again", operations: []history.Operation{
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
