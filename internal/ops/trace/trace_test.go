package trace

import (
	"errors"
	"fmt"
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

func TestExplainRefusals(t *testing.T) {
	const logs = `
{"time":"2026-04-03T22:35:29Z","msg":"key withdrawn","process":"proxy-2","customer":"quarry","key-digest":"AAECAwQF","version":7}
{"time":"2026-04-03T22:35:30Z","msg":"statement not done","process":"proxy-1","request-id":"limit","group":"g","outcome":"busy","cause":"limit","customer":"hotel","rate":200,"burst":400,"over-by":12,"retry-after-ms":60}
{"time":"2026-04-03T22:35:30Z","msg":"statement not done","process":"proxy-1","request-id":"key","group":"g","outcome":"unknown-key","cause":"unknown-key","key-digest":"BBBBBBBB","version":8}
{"time":"2026-04-03T22:35:30Z","msg":"statement not done","process":"proxy-1","request-id":"withdrawn","group":"g","outcome":"unknown-key","cause":"unknown-key","key-digest":"AAECAwQF","version":8}
{"time":"2026-04-03T22:35:30Z","msg":"statement not done","process":"proxy-1","request-id":"open-session","group":"g","outcome":"unknown-key","cause":"unknown-key","customer":"hotel","withdrawn-in":9,"version":9}
{"time":"2026-04-03T22:35:30Z","msg":"statement not done","process":"proxy-1","request-id":"right","group":"g","outcome":"busy","cause":"key-right","right-ended-ms-ago":300}
{"time":"2026-04-03T22:35:30Z","msg":"statement not done","process":"proxy-1","request-id":"own","group":"g","outcome":"busy","cause":"own-work","customer":"hotel","own-waiting":90}
{"time":"2026-04-03T22:35:30Z","msg":"statement not done","process":"proxy-1","request-id":"queue","group":"g","outcome":"busy","cause":"queue","customer":"hotel"}
`
	lines, err := Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ request, want string }{
		{"limit", "customer hotel is over its limit of 200 a second and bursts of 400, by 12 operations; the next one may come after 60 ms"},
		{"key", "no customer holds the caller's key in configuration version 8, which was in force at proxy-1"},
		{"withdrawn", "the key was withdrawn from customer quarry in configuration version 7: no customer holds it in configuration version 8, which was in force at proxy-1"},
		{"open-session", "the key was withdrawn from customer hotel in configuration version 9: no customer holds it in configuration version 9, which was in force at proxy-1"},
		{"right", "the proxy couldn't confirm that its keys are in force: its right to use them ended 300 ms before; nothing ran, another proxy may answer"},
		{"own", "it waited behind other work of customer hotel, of which 90 statements were waiting"},
		{"queue", ""},
	}
	for _, test := range tests {
		timeline, err := Explain(test.request, lines)
		if err != nil || timeline.Refusal != test.want {
			t.Errorf("%s: got %q, %v, want %q", test.request, timeline.Refusal, err, test.want)
		}
	}
}

func TestSummarizeBoundsCustomers(t *testing.T) {
	var lines []Line
	add := func(name string, count int) {
		for range count {
			lines = append(lines, Line{Time: time.Unix(1000, 0), Message: messageNotDone, Fields: map[string]any{keyCustomer: name, keyCause: causeLimit}})
		}
	}
	for i := range 2 * maxCustomers {
		add(fmt.Sprintf("small-%03d", i), 1)
	}
	add("large", 500)
	got := Summarize(lines, time.Second)
	if len(got) != maxCustomers+1 || got[0].Customer != "large" || got[0].Count != 500 || got[1].Customer != otherCustomer || got[1].Count != maxCustomers+1 {
		t.Errorf("got %d losses, the first two %+v, want %d, of large and of all others together", len(got), got[:2], maxCustomers+1)
	}
}
