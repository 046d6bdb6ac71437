// Package trace finds in the logs of all processes what concerns one request:
// the lines that name it, and what the processes believed about its group at
// the time.
//
// # Usage
//
//	lines, err := trace.Read(file)
//	story, err := trace.Explain("5c0e7a21d94b36f8", lines)
//	for _, line := range story.Lines { ... }
//
// A line is a JSON object, possibly after a prefix that a log collector put
// before it. Lines that aren't JSON are passed over.
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
	// lookBack is how long before a request lines about its group are shown:
	// two leases.
	lookBack = 7 * time.Second
	// maxLine bounds a line of a log.
	maxLine = 1 << 20

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
	// ErrUnknownRequest tells that no line names the request.
	ErrUnknownRequest = eris.New("no line names the request")

	// standing are messages whose newest one tells what a process still
	// believes, however old it is.
	standing = map[string]bool{
		"primary known": true, "primacy": true, "configuration in force": true, "link to control": true, "leads control": true,
	}

	// general are messages that concern all groups.
	general = map[string]bool{
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
		// Role is that of the process.
		Role string
		// Fields are all keys but those above.
		Fields map[string]any
	}

	// Entry is a line of a story.
	Entry struct {
		Line
		// NamesRequest tells that the line names the request.
		NamesRequest bool
		// Decisive tells that the outcome was decided here.
		Decisive bool
	}

	// Timeline is what concerns one request, in the order of time.
	Timeline struct {
		RequestID string
		Process   string
		Database  string
		Group     string
		Outcome   string
		Reason    string
		Entries   []Entry
	}
)

// Read returns the lines of a log in the order in which they stand.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read a log")
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Process: textOf(fields, keyProcess), Message: textOf(fields, keyMessage), Role: textOf(fields, keyRole), Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, textOf(fields, keyTime))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = at
	for _, key := range []string{keyTime, keyMessage, keyProcess, keyRole, "level"} {
		delete(fields, key)
	}
	return line, true
}

func textOf(fields map[string]any, key string) string {
	text, _ := fields[key].(string)
	return text
}

// Explain returns the story of a request. Errors: ErrUnknownRequest.
func Explain(request string, lines []Line) (Timeline, error) {
	story := Timeline{RequestID: request}
	var first, last Line
	found := false
	for _, line := range lines {
		if textOf(line.Fields, keyRequest) != request {
			continue
		}
		if !found || line.Time.Before(began(first)) {
			first = line
		}
		if !found || !line.Time.Before(last.Time) {
			last = line
		}
		found = true
	}
	if !found {
		return story, eris.Wrapf(ErrUnknownRequest, "%q", request)
	}
	story.Process, story.Database = last.Process, textOf(last.Fields, keyDatabase)
	story.Group, story.Outcome, story.Reason = textOf(last.Fields, keyGroup), textOf(last.Fields, keyOutcome), textOf(last.Fields, keyReason)
	story.collect(lines, began(first), last)
	return story, nil
}

// began returns when the request of a line came.
func began(line Line) time.Time {
	total, _ := line.Fields[keyTotal].(float64)
	return line.Time.Add(-time.Duration(total * float64(time.Millisecond)))
}

// collect picks the lines and marks the one that decided: the newest belief of
// the request's group before its outcome, or the outcome's own line.
func (s *Timeline) collect(lines []Line, start time.Time, last Line) {
	earlier := map[string]Line{}
	for _, line := range lines {
		own := textOf(line.Fields, keyRequest) == s.RequestID
		switch {
		case own:
			s.Entries = append(s.Entries, Entry{Line: line, NamesRequest: true})
		case line.Time.After(last.Time) || !s.concerns(line):
		case !line.Time.Before(start.Add(-lookBack)):
			s.Entries = append(s.Entries, Entry{Line: line})
		case standing[line.Message]:
			key := line.Message + line.Process
			if line.Time.After(earlier[key].Time) {
				earlier[key] = line
			}
		}
	}
	for _, line := range earlier {
		s.Entries = append(s.Entries, Entry{Line: line})
	}
	slices.SortStableFunc(s.Entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	deciding := -1
	for i, entry := range s.Entries {
		if entry.NamesRequest || textOf(entry.Fields, keyGroup) == s.Group || entry.Process == s.Process {
			deciding = i
		}
		if entry.NamesRequest && entry.Time.Equal(last.Time) {
			break
		}
	}
	if deciding >= 0 {
		s.Entries[deciding].Decisive = true
	}
}

// concerns reports whether a line that doesn't name the request tells what a
// process believed about its group.
func (s *Timeline) concerns(line Line) bool {
	if line.Fields[keyRequest] != nil {
		return false
	}
	if group := textOf(line.Fields, keyGroup); group != "" {
		return group == s.Group && (line.Process == s.Process || line.Role == roleControl)
	}
	return general[line.Message] && (line.Process == s.Process || line.Message == "leads control")
}
