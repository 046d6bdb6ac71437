// Package output writes lists: as a table to a terminal, as tab-separated lines
// to anything else, or as JSON with selected fields.
//
// # Usage
//
//	columns := []output.Column[server]{
//		{Name: "name", Value: func(s server) any { return s.name }},
//	}
//	err := output.Write(streams, columns, servers, options.JSON)
//
// Names of columns are in kebab-case. They are also the field names that --json
// accepts.
package output

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/iostreams"
	"github.com/burdockwood/burdockwood/internal/config/suggest"
)

var errUnknownField = eris.New("unknown field")

type (
	// Column is a named column with the function that returns its value in a
	// row.
	Column[T any] struct {
		Name  string
		Value func(T) any
	}

	// Options are the flags of commands that write lists.
	Options struct {
		JSON string `long:"json" value-name:"FIELDS" description:"write JSON with these fields, separated by commas"`
	}
)

// Write writes rows with all columns. If fields isn't empty, it writes a JSON
// array of objects instead, with the fields that are named in fields, separated
// by commas. An unknown field is an error with the code exit.Usage.
func Write[T any](streams *iostreams.Streams, columns []Column[T], rows []T, fields string) error {
	if fields != "" {
		return writeJSON(streams, columns, rows, fields)
	}
	if !streams.IsTerminal {
		return writeLines(streams, columns, rows)
	}
	w := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	var header []string
	for _, c := range columns {
		header = append(header, strings.ToUpper(strings.ReplaceAll(c.Name, "-", " ")))
	}
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(formatCells(columns, row), "\t"))
	}
	return w.Flush()
}

func writeLines[T any](streams *iostreams.Streams, columns []Column[T], rows []T) error {
	for _, row := range rows {
		if _, err := fmt.Fprintln(streams.Out, strings.Join(formatCells(columns, row), "\t")); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON[T any](streams *iostreams.Streams, columns []Column[T], rows []T, fields string) error {
	selected, err := selectColumns(columns, fields)
	if err != nil {
		return err
	}
	objects := make([]map[string]any, 0, len(rows))
	for _, row := range rows {
		object := make(map[string]any, len(selected))
		for _, c := range selected {
			object[c.Name] = c.Value(row)
		}
		objects = append(objects, object)
	}
	encoder := json.NewEncoder(streams.Out)
	if streams.IsTerminal {
		encoder.SetIndent("", "  ")
	}
	return encoder.Encode(objects)
}

func selectColumns[T any](columns []Column[T], fields string) ([]Column[T], error) {
	var selected []Column[T]
	for name := range strings.SplitSeq(fields, ",") {
		name = strings.TrimSpace(name)
		column, ok := findColumn(columns, name)
		if !ok {
			return nil, unknownField(columns, name)
		}
		selected = append(selected, column)
	}
	return selected, nil
}

func findColumn[T any](columns []Column[T], name string) (Column[T], bool) {
	for _, c := range columns {
		if c.Name == name {
			return c, true
		}
	}
	return Column[T]{}, false
}

func unknownField[T any](columns []Column[T], name string) error {
	var known []string
	for _, c := range columns {
		known = append(known, c.Name)
	}
	fix := "fields: " + strings.Join(known, ",")
	if near, ok := suggest.Closest(name, known); ok {
		fix = fmt.Sprintf("did you mean %q? %s", near, fix)
	}
	return exit.New(exit.Usage, exit.WithDetail(errUnknownField, "--json: %q", name), fix)
}

func formatCells[T any](columns []Column[T], row T) []string {
	texts := make([]string, 0, len(columns))
	for _, c := range columns {
		texts = append(texts, formatCell(c.Value(row)))
	}
	return texts
}

// formatCell returns a value as text. It replaces tabs and line breaks, which
// separate cells and rows.
func formatCell(value any) string {
	text := fmt.Sprint(value)
	if list, ok := value.([]string); ok {
		text = strings.Join(list, ",")
	}
	return strings.NewReplacer("\t", " ", "\n", " ").Replace(text)
}
