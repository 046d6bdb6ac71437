// Package declarations reads declarations from files and from control, writes
// the differences between them, and applies changes.
//
// # Usage
//
//	next, err := declarations.ReadFolder("examples/guild")
//	current, err := declarations.Fetch(ctx, f, options.Client, 0)
//	err = declarations.WriteDiff(w, current.Declarations.Diff(next))
//
//	request, err := declarations.NewApplyRequest(next, current.Version, "", options.Author)
//	version, err := declarations.Apply(ctx, f, options.Client, request)
package declarations

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

var errInvalidDeclarations = eris.New("invalid declarations")

// Versioned is one version of the declarations.
type Versioned struct {
	Version uint64
	// Text is the YAML text that was applied; empty before the first
	// change.
	Text         string
	Declarations *declaration.Declarations
}

// ReadFolder reads and checks the declarations in a folder. The error, with the
// code exit.Usage, lists all problems.
func ReadFolder(folder string) (*declaration.Declarations, error) {
	if info, err := os.Stat(folder); err != nil || !info.IsDir() {
		return nil, exit.New(exit.Usage, exit.WithDetail(errInvalidDeclarations, "%s is not a folder that can be read", folder), "name a folder with .yaml files")
	}
	parsed, problems := declaration.ParseDir(os.DirFS(folder))
	if len(problems) == 0 {
		return parsed, nil
	}
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		if problem.File != "" {
			problem.File = strings.TrimSuffix(folder, "/") + "/" + problem.File
		}
		lines = append(lines, problem.String())
	}
	return nil, exit.New(exit.Usage, errors.New(strings.Join(lines, "\n")), "")
}

// Fetch returns one version of the declarations from control; version 0 is the
// newest. If no change has been accepted yet, the declarations are empty.
func Fetch(ctx context.Context, f *factory.Factory, options settings.Client, version uint64) (Versioned, error) {
	response, err := factory.FetchDeclarations(ctx, f, options, version)
	if err != nil {
		return Versioned{}, err
	}
	fetched := Versioned{Version: response.GetVersion(), Text: response.GetDeclarations()}
	if fetched.Text == "" {
		fetched.Declarations = &declaration.Declarations{Format: declaration.Format}
		return fetched, nil
	}
	parsed, problems := declaration.Parse(fetched.Text)
	if len(problems) > 0 {
		return Versioned{}, exit.New(exit.Failed, exit.WithDetail(errInvalidDeclarations, "version %d: %v", version, problems[0]), "use a release of burdockwood that is at least as new as control's")
	}
	fetched.Declarations = parsed
	return fetched, nil
}

// WriteDiff writes differences as text for operators.
func WriteDiff(w io.Writer, differences []declaration.Difference) error {
	var b strings.Builder
	for _, d := range differences {
		fmt.Fprintf(&b, "%s %s: %s\n", d.Item, d.Name, d.Action)
		for _, line := range d.Lines {
			fmt.Fprintf(&b, "  %s\n", line)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}
