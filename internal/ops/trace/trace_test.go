package trace

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

const logs = `
2.1 control-1 {"time":"2026-04-03T22:35:21Z","level":"info","msg":"leads control","role":"control","process":"control-1","epoch":2}
not a line
{"time":"2026-04-03T22:30:00Z","level":"info","msg":"primary known","role":"proxy","process":"proxy-1","group":"g","term":0,"primary":"q"}
{"time":"2026-04-03T22:31:29Z","level":"info","msg":"primary known","role":"proxy","process":"proxy-1","group":"g","term":1,"primary":"p"}
{"time":"2026-04-03T22:35:30Z","level":"info","msg":"server doesn't answer","role":"proxy","process":"proxy-1","server":"p","group":"g"}
{"time":"2026-04-03T22:35:30.2Z","level":"info","msg":"server doesn't answer","role":"proxy","process":"proxy-2","server":"p","group":"other"}
{"time":"2026-04-03T22:35:30.5Z","level":"info","msg":"primacy","role":"control","process":"control-1","group":"g","term":2,"phase":"releasing"}
{"time":"2026-04-03T22:35:31Z","level":"info","msg":"statement not done","role":"proxy","process":"proxy-1","request-id":"a1","database":"d","group":"g","server":"p","outcome":"unknown","reason":"the write may have run","total-ms":600}
{"time":"2026-04-03T22:35:31Z","level":"info","msg":"statement late","role":"proxy","process":"proxy-1","request-id":"b2","group":"g","total-ms":600}
{"time":"2026-04-03T22:35:40Z","level":"info","msg":"primary known","role":"proxy","process":"proxy-1","group":"g","term":2,"primary":"r"}
`

func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	timeline, err := Explain("a1", lines)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, entry := range timeline.Entries {
		text := entry.Process + " " + entry.Message
		if entry.Decisive {
			text += " *"
		}
		got = append(got, text)
	}
	want := "proxy-1 primary known, control-1 leads control, proxy-1 server doesn't answer, control-1 primacy, proxy-1 statement not done *"
	if text := strings.Join(got, ", "); text != want {
		t.Errorf("got %s, want %s", text, want)
	}
	if timeline.Outcome != "unknown" || timeline.Process != "proxy-1" || timeline.Group != "g" || timeline.Reason != "the write may have run" {
		t.Errorf("got %+v", timeline)
	}
}

func TestExplainUnknownRequest(t *testing.T) {
	if _, err := Explain("zz", nil); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("got %v, want %v", err, ErrUnknownRequest)
	}
}

func TestSummarize(t *testing.T) {
	const logs = `
{"time":"2026-04-03T22:35:30.1Z","msg":"statement not done","process":"proxy-1","request-id":"a1","database":"d","group":"g","outcome":"busy","cause":"queue","primary-only":true,"waited-ms":20,"total-ms":30}
{"time":"2026-04-03T22:35:31.9Z","msg":"statement not done","process":"proxy-2","request-id":"a2","database":"d","group":"g","outcome":"busy","cause":"queue","primary-only":true,"waited-ms":5,"total-ms":10}
{"time":"2026-04-03T22:35:31Z","msg":"statement late","process":"proxy-1","request-id":"a3","database":"d","group":"g","outcome":"ok","cause":"slow","total-ms":400}
{"time":"2026-04-03T22:35:31Z","msg":"primary known","process":"proxy-1","group":"g"}
{"time":"2026-04-03T22:35:32Z","msg":"statement not done","process":"proxy-1","request-id":"a4","database":"d","group":"g","outcome":"busy"}
`
	lines, err := Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	at := func(second int) time.Time { return time.Date(2026, 4, 3, 22, 35, second, 0, time.UTC) }
	want := []Loss{
		{Window: at(30), Group: "g", Database: "d", Primary: true, Outcome: "busy", Cause: "queue", Count: 2, Waited: 25 * time.Millisecond, Total: 40 * time.Millisecond},
		{Window: at(30), Group: "g", Database: "d", Outcome: "late", Cause: "slow", Count: 1, Total: 400 * time.Millisecond},
		{Window: at(32), Group: "g", Database: "d", Outcome: "busy", Cause: "unknown", Count: 1},
	}
	if got := Summarize(lines, 2*time.Second); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
