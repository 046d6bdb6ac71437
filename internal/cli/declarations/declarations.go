// Package declared reads and writes declarations for the commands: from files
// and from control.
//
// # Usage
//
//	next, err := declared.FromFolder("examples/guild")
//	current, err := declared.FromControl(ctx, f, options.Client, 0)
//	declared.WriteDiff(w, current.Declarations.Diff(next))
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

var errFaults = eris.New("the declarations have faults")

// Versioned are the declarations of one version.
type Versioned struct {
	Version      uint64
	Text         string
	Declarations *declaration.Declarations
}

// ReadFolder reads and checks the declarations in a folder; all faults are
// in the error.
func ReadFolder(folder string) (*declaration.Declarations, error) {
	if info, err := os.Stat(folder); err != nil || !info.IsDir() {
		return nil, exit.New(exit.Usage, exit.WithDetail(errFaults, "%s is not a folder that can be read", folder), "name a folder with .yaml files")
	}
	read, faults := declaration.ParseDir(os.DirFS(folder))
	if len(faults) == 0 {
		return read, nil
	}
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		if fault.File != "" {
			fault.File = strings.TrimSuffix(folder, "/") + "/" + fault.File
		}
		lines = append(lines, fault.String())
	}
	return nil, exit.New(exit.Usage, errors.New(strings.Join(lines, "\n")), "")
}

// Fetch returns one version of the declarations; 0 is the newest.
// Before the first change they are empty.
func Fetch(ctx context.Context, f *factory.Factory, options settings.Client, version uint64) (Versioned, error) {
	response, err := factory.FetchDeclarations(ctx, f, options, version)
	if err != nil {
		return Versioned{}, err
	}
	current := Versioned{Version: response.GetVersion(), Text: response.GetDeclarations()}
	if current.Text == "" {
		current.Declarations = &declaration.Declarations{Format: declaration.Format}
		return current, nil
	}
	read, faults := declaration.Parse(current.Text)
	if len(faults) > 0 {
		return Versioned{}, exit.New(exit.Failed, exit.WithDetail(errFaults, "version %d: %v", version, faults[0]), "use a release of burdockwood that is as new as control's")
	}
	current.Declarations = read
	return current, nil
}

// WriteDiff writes differences for people.
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
