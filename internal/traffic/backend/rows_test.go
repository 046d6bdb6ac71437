package backend

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/budget"
)

// recordedRows records the rows that are passed on.
type recordedRows struct {
	hasMemory          bool
	beginErr, passErr  error
	begun              int
	rows               [][]byte
	calls, biggestCall int
}

func (r *recordedRows) Reserve() bool { return r.hasMemory }

func (r *recordedRows) Begin() (time.Time, error) {
	r.begun++
	return time.Unix(100, 0), r.beginErr
}

func (r *recordedRows) Pass(rows [][]byte) error {
	size := 0
	for _, row := range rows {
		r.rows = append(r.rows, bytes.Clone(row))
		size += len(row)
	}
	r.calls++
	r.biggestCall = max(r.biggestCall, size)
	return r.passErr
}

// TestRows checks which answers are held, and that the rows that were passed on and those that
// are held are those of the answer, in their order.
func TestRows(t *testing.T) {
	tests := []struct {
		name           string
		rows, rowBytes int
		hasMemory      bool
		wantPassed     bool
	}{
		{"none", 0, 0, true, false},
		{"short", 3, 10, false, false},
		{"within the window", 50, 1000, true, false},
		{"within the window, without memory", 50, 1000, false, true},
		{"long", 5000, 1000, true, true},
		{"long, without memory", 5000, 1000, false, true},
		{"empty rows", 100_000, 0, true, true},
		{"long rows", 5, 1 << 20, true, true},
		{"rows of half a window, without memory", 20, answerWindow / 2, false, true},
	}
	for _, test := range tests {
		sink := &recordedRows{hasMemory: test.hasMemory}
		var deadline time.Time
		rows := Rows{Sink: sink, SetDeadline: func(d time.Time) error {
			deadline = d
			return nil
		}}
		row := make([]byte, test.rowBytes)
		var want [][]byte
		for i := range test.rows {
			copy(row, fmt.Sprint(i))
			want = append(want, bytes.Clone(row))
			if err := rows.Add(row); err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
		}
		if got := sink.begun == 1 && deadline.Equal(time.Unix(100, 0)); got != test.wantPassed || sink.begun > 1 {
			t.Errorf("%s: got %d begins and the deadline %v, want rows passed on: %v", test.name, sink.begun, deadline, test.wantPassed)
		}
		got := append(sink.rows, rows.Held()...)
		if fmt.Sprint(len(got)) != fmt.Sprint(len(want)) || !bytes.Equal(bytes.Join(got, []byte(",")), bytes.Join(want, []byte(","))) {
			t.Errorf("%s: got %d rows that aren't those of the answer, want its %d", test.name, len(got), len(want))
		}
		if limit := max(test.rowBytes, answerWindow); sink.biggestCall > limit {
			t.Errorf("%s: got %d bytes held, want %d at most", test.name, sink.biggestCall, limit)
		}
		if test.rowBytes == 1000 && sink.calls > 1+test.rows*test.rowBytes/(budget.FreeBytes/2) {
			t.Errorf("%s: got %d writes", test.name, sink.calls)
		}
	}
}

func TestRowsErrors(t *testing.T) {
	failed := errors.New("failed")
	tests := []struct {
		name string
		rows Rows
	}{
		{"begin", Rows{Sink: &recordedRows{beginErr: failed}}},
		{"pass", Rows{Sink: &recordedRows{passErr: failed}}},
		{"deadline", Rows{Sink: &recordedRows{}, SetDeadline: func(time.Time) error { return failed }}},
	}
	for _, test := range tests {
		if err := test.rows.Add(make([]byte, 1<<20)); !errors.Is(err, failed) {
			t.Errorf("%s: got %v, want %v", test.name, err, failed)
		}
	}
}

func TestRowsWithoutSink(t *testing.T) {
	var rows Rows
	for range 100 {
		if err := rows.Add(make([]byte, 10_000)); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(rows.Held()); got != 100 {
		t.Errorf("got %d rows, want 100", got)
	}
}
