package commitlog_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
)

func open(t *testing.T, folder string) *commitlog.Log {
	t.Helper()
	log, err := commitlog.Open(folder, false, time.Unix(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	return log
}

func appendEntries(t *testing.T, log *commitlog.Log, term cluster.Term, n int) {
	t.Helper()
	for range n {
		next := log.End().Position + 1
		if err := log.Append(time.Unix(1, 0), commitlog.Entry{Term: term, Position: next}); err != nil {
			t.Fatal(err)
		}
	}
}

func TestOpenTruncatesTornEntry(t *testing.T) {
	folder := t.TempDir()
	log := open(t, folder)
	appendEntries(t, log, 1, 3)
	path := filepath.Join(folder, "log.jsonl")
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, cut := range []int{1, 2, 10} {
		if err := os.WriteFile(path, content[:len(content)-cut], 0o600); err != nil {
			t.Fatal(err)
		}
		again := open(t, folder)
		if got, want := again.End(), (cluster.LogPosition{Term: 1, Position: 2}); got != want {
			t.Errorf("truncated by %d bytes: got end %v, want %v", cut, got, want)
		}
		appendEntries(t, again, 2, 1)
		if got, want := open(t, folder).End(), (cluster.LogPosition{Term: 2, Position: 3}); got != want {
			t.Errorf("truncated by %d bytes, then appended: got end %v, want %v", cut, got, want)
		}
	}
}

func TestLastCommonPosition(t *testing.T) {
	primary := open(t, t.TempDir())
	appendEntries(t, primary, 1, 4)
	appendEntries(t, primary, 3, 2)
	tests := []struct {
		name  string
		other []commitlog.TermEnd
		want  cluster.Position
	}{
		{name: "empty", want: 0},
		{name: "shorter in the same term", other: []commitlog.TermEnd{{Term: 1, Last: 2}}, want: 2},
		{name: "longer in an older term", other: []commitlog.TermEnd{{Term: 1, Last: 9}}, want: 4},
		{name: "has a term that the primary doesn't have", other: []commitlog.TermEnd{{Term: 1, Last: 3}, {Term: 2, Last: 9}}, want: 3},
		{name: "equal", other: []commitlog.TermEnd{{Term: 1, Last: 4}, {Term: 3, Last: 6}}, want: 6},
	}
	for _, test := range tests {
		if got := primary.LastCommonPosition(test.other); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
	if err := primary.Truncate(4); err != nil {
		t.Fatal(err)
	}
	if got, want := primary.End(), (cluster.LogPosition{Term: 1, Position: 4}); got != want {
		t.Errorf("after Truncate: got end %v, want %v", got, want)
	}
	if err := primary.Append(time.Unix(1, 0), commitlog.Entry{Term: 4, Position: 6}); err == nil {
		t.Error("Append accepted an entry that leaves a gap")
	}
}
