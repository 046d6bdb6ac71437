// Package trace extracts from the logs of all processes the lines that concern one
// request: those that carry its request ID, and those that show in which state the
// processes saw its group at that time.
//
// # Usage
//
//	lines, err := trace.Read(file)
//	timeline, err := trace.Explain("5c0e7a21d94b36f8", lines)
//	for _, entry := range timeline.Entries { ... }
//
//	for _, loss := range trace.Summarize(lines, 2*time.Second) { ... }
//
// A line is a JSON object, possibly after a prefix added by a log collector.
// Lines that aren't JSON are skipped.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// contextBefore is how far before the start of a request the lines about its
	// group are included: twice the duration of a lease.
	contextBefore = 7 * time.Second
	// maxLineBytes is the longest line that Read accepts.
	maxLineBytes = 1 << 20

	keyTime     = "time"
	keyMessage  = "msg"
	keyProcess  = "process"
	keyRequest  = "request-id"
	keyGroup    = "group"
	keyOutcome  = "outcome"
	keyReason   = "reason"
	keyTotal    = "total-ms"
	keyDatabase = "database"
	keyRole     = "role"
	roleControl = "control"
)

var (
	// ErrUnknownRequest is returned if no line carries the request ID.
	ErrUnknownRequest = eris.New("no line names the request")

	// stateMessages are messages that report a state that lasts until the next
	// such message of the process. The newest one before the request is
	// included, however old it is.
	stateMessages = map[string]bool{
		"primary known": true, "primacy": true, "configuration in force": true, "link to control": true, "leads control": true,
	}

	// systemMessages are messages without a group that concern all groups.
	systemMessages = map[string]bool{
		"link to control": true, "leads control": true, "doesn't lead control any more": true,
		"leadership changed": true, "configuration in force": true, "start": true, "stopping": true, "stopped": true,
		"control node stopped; it is opened again": true, "log lines left out": true,
	}
)

type (
	// Line is a line of a log.
	Line struct {
		Time    time.Time
		Process string
		Message string
		// Role is the role of the process.
		Role string
		// Fields holds all keys except those above and the level.
		Fields map[string]any
	}

	// Entry is a line of a timeline.
	Entry struct {
		Line
		// NamesRequest is true if the line carries the request ID.
		NamesRequest bool
		// Decisive is true for the line that logs the outcome of the request.
		Decisive bool
	}

	// Timeline holds the lines that concern one request, in order of time, and
	// what the last line that carries its ID says about it.
	Timeline struct {
		RequestID string
		Process   string
		Database  string
		Group     string
		Outcome   string
		Reason    string
		// Customer is the customer of the request; empty: none.
		Customer string
		// Refusal says in words why a customer's request was refused; empty if it
		// wasn't for its customer's key, limit or other work.
		Refusal string
		Entries []Entry
	}
)

// Read returns the lines of a log in their order in the input. It fails with
// bufio.ErrTooLong if a line exceeds 1 MiB.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read a log")
}

// parseLine parses a line. It returns false if the line isn't a JSON object with a
// message and a valid time.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Process: stringField(fields, keyProcess), Message: stringField(fields, keyMessage), Role: stringField(fields, keyRole), Fields: fields}
	timestamp, err := time.Parse(time.RFC3339Nano, stringField(fields, keyTime))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = timestamp
	for _, key := range []string{keyTime, keyMessage, keyProcess, keyRole, "level"} {
		delete(fields, key)
	}
	return line, true
}

// stringField returns the string under the key; "" if there is none.
func stringField(fields map[string]any, key string) string {
	text, _ := fields[key].(string)
	return text
}

// Explain returns the timeline of a request from the lines of all logs, in any
// order. It returns ErrUnknownRequest if no line carries the request ID.
func Explain(requestID string, lines []Line) (Timeline, error) {
	timeline := Timeline{RequestID: requestID}
	var first, last Line
	found := false
	for _, line := range lines {
		if stringField(line.Fields, keyRequest) != requestID {
			continue
		}
		if !found || line.Time.Before(requestStart(first)) {
			first = line
		}
		if !found || !line.Time.Before(last.Time) {
			last = line
		}
		found = true
	}
	if !found {
		return timeline, eris.Wrapf(ErrUnknownRequest, "%q", requestID)
	}
	timeline.Process, timeline.Database = last.Process, stringField(last.Fields, keyDatabase)
	timeline.Group, timeline.Outcome, timeline.Reason = stringField(last.Fields, keyGroup), stringField(last.Fields, keyOutcome), stringField(last.Fields, keyReason)
	timeline.Customer, timeline.Refusal = stringField(last.Fields, keyCustomer), explainRefusal(last, lines)
	timeline.collect(lines, requestStart(first), last)
	return timeline, nil
}

// requestStart returns when the request of a line started: the time of the line
// less the total duration that it reports.
func requestStart(line Line) time.Time {
	return line.Time.Add(-millisecondsField(line.Fields, keyTotal))
}

// collect adds the entries and marks the one that logs the outcome as decisive: of
// the lines that carry the request ID, the first with the time of the last one.
func (t *Timeline) collect(lines []Line, start time.Time, last Line) {
	latestStates := map[string]Line{}
	for _, line := range lines {
		namesRequest := stringField(line.Fields, keyRequest) == t.RequestID
		switch {
		case namesRequest:
			t.Entries = append(t.Entries, Entry{Line: line, NamesRequest: true})
		case line.Time.After(last.Time) || !t.isRelevant(line):
		case !line.Time.Before(start.Add(-contextBefore)):
			t.Entries = append(t.Entries, Entry{Line: line})
		case stateMessages[line.Message]:
			key := line.Message + line.Process
			if line.Time.After(latestStates[key].Time) {
				latestStates[key] = line
			}
		}
	}
	for _, line := range latestStates {
		t.Entries = append(t.Entries, Entry{Line: line})
	}
	slices.SortStableFunc(t.Entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	decisive := -1
	for i, entry := range t.Entries {
		if entry.NamesRequest || stringField(entry.Fields, keyGroup) == t.Group || entry.Process == t.Process {
			decisive = i
		}
		if entry.NamesRequest && entry.Time.Equal(last.Time) {
			break
		}
	}
	if decisive >= 0 {
		t.Entries[decisive].Decisive = true
	}
}

// isRelevant reports whether a line that doesn't carry the request ID shows in which
// state a process saw the request's group: a line about the group from the proxy
// that served the request or from a control node, or a system message.
func (t *Timeline) isRelevant(line Line) bool {
	if line.Fields[keyRequest] != nil {
		return false
	}
	if group := stringField(line.Fields, keyGroup); group != "" {
		return group == t.Group && (line.Process == t.Process || line.Role == roleControl)
	}
	return systemMessages[line.Message] && (line.Process == t.Process || line.Message == "leads control")
}
