// Package iostreams provides the standard streams of a command, so that tests
// can replace them.
//
// # Usage
//
//	streams := iostreams.System()
//	if streams.IsTerminal {
//		// write a table with a header
//	}
//	ok, err := streams.Confirm("Drain server ledger-1/a?")
package iostreams

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/term"
)

// ClearScreen clears a terminal and moves its cursor to the upper left corner.
const ClearScreen = "\x1b[H\x1b[2J"

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// IsTerminal is true if Out is a terminal.
	IsTerminal bool
	// CanPrompt is true if In and Err are terminals.
	CanPrompt bool
}

// System returns the streams of the process.
func System() *Streams {
	return &Streams{
		In:         os.Stdin,
		Out:        os.Stdout,
		Err:        os.Stderr,
		IsTerminal: isTerminal(os.Stdout),
		CanPrompt:  isTerminal(os.Stdin) && isTerminal(os.Stderr),
	}
}

// Confirm writes a question to Err, reads a line from In, and reports whether it
// is "y" or "yes".
func (s *Streams) Confirm(question string) (bool, error) {
	if _, err := fmt.Fprintf(s.Err, "%s [y/N] ", question); err != nil {
		return false, err
	}
	line, err := bufio.NewReader(s.In).ReadString('\n')
	if err != nil && line == "" {
		return false, err
	}
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes", nil
}

func isTerminal(file *os.File) bool { return term.IsTerminal(int(file.Fd())) }
