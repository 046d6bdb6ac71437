// Package apply implements the command that puts declarations from files in
// force.
//
// # Usage
//
//	cmd := apply.NewCmdApply(f)
//
//	err := apply.Wait(ctx, f, options.Client, version, 30*time.Second)
package apply

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

type applyOptions struct {
	settings.Author
	factory.Confirmation
	Folder        string        `short:"f" long:"folder" value-name:"DIR" description:"folder with .yaml files, read with its subfolders"`
	DryRun        bool          `long:"dry-run" description:"show the difference and change nothing"`
	Wait          bool          `long:"wait" description:"wait until every live proxy has the version in force"`
	WaitTime      time.Duration `long:"wait-time" default:"30s" description:"most time to wait"`
	ChangeID      string        `long:"change-id" value-name:"ID" description:"identifier of the change; the same one again gets the first answer"`
	ExpectVersion string        `long:"expect-version" value-name:"N" description:"version that the change builds on; without it the version in force"`
	settings.Client
}

// NewCmdApply returns the command "apply".
func NewCmdApply(f *factory.Factory) *command.Command {
	options := &applyOptions{}
	return &command.Command{
		Name:  "apply",
		Short: "Put declarations from files in force",
		Long: `Put declarations from files in force. The files must declare all groups,
selectors and customers: those that they don't declare are removed. Customers' keys
are turned into digests before anything is sent. A change builds on one
version. If another change to that version was accepted first, control refuses
this one and names the other (exit code 4). If the response is lost, run the same
command again: without --change-id, the change's identifier is a hash of its
content, so it is accepted at most once.`,
		Example: `burdockwood apply -f examples/guild --dry-run
burdockwood apply -f examples/guild --wait
burdockwood apply -f declarations --expect-version 41 --change-id release-7 --yes`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			return applyRun(ctx, f, options)
		},
	}
}

// Check returns all problems of the flags.
func (o *applyOptions) Check() settings.Problems {
	problems := o.Client.Check()
	if o.Folder == "" {
		problems = append(problems, settings.Problem{Setting: "--folder", Text: "is missing", Fix: "name the folder with -f"})
	}
	if _, err := strconv.ParseUint(o.ExpectVersion, 10, 64); o.ExpectVersion != "" && err != nil {
		problems = append(problems, settings.Problem{Setting: "--expect-version", Text: fmt.Sprintf("%q is not a version", o.ExpectVersion), Fix: "write a whole number"})
	}
	return problems
}

// baseVersion returns the version that the change builds on: that of
// --expect-version, or else inForce, the version in force.
func (o *applyOptions) baseVersion(inForce uint64) uint64 {
	if version, err := strconv.ParseUint(o.ExpectVersion, 10, 64); err == nil {
		return version
	}
	return inForce
}

func applyRun(ctx context.Context, f *factory.Factory, options *applyOptions) error {
	next, err := declarations.ReadFolder(options.Folder)
	if err != nil {
		return err
	}
	current, err := declarations.Fetch(ctx, f, options.Client, 0)
	if err != nil {
		return err
	}
	differences := current.Declarations.Diff(next)
	if options.DryRun {
		return dryRun(f, current, differences)
	}
	if len(differences) == 0 && options.ChangeID == "" && options.ExpectVersion == "" {
		if _, err := fmt.Fprintf(f.Streams.Out, "version %d is in force already, nothing to change\n", current.Version); err != nil {
			return err
		}
		return waitIfRequested(ctx, f, options, current.Version)
	}
	if err := confirmRemovals(f, options, differences); err != nil {
		return err
	}
	request, err := declarations.NewApplyRequest(next, options.baseVersion(current.Version), options.ChangeID, options.Author)
	if err != nil {
		return err
	}
	version, err := declarations.Apply(ctx, f, options.Client, request)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(f.Streams.Out, "version %d is accepted (%d differences, change %s)\n", version, len(differences), request.GetChangeId()); err != nil {
		return err
	}
	return waitIfRequested(ctx, f, options, version)
}

// waitIfRequested waits, if --wait is set, until every live proxy has the version.
func waitIfRequested(ctx context.Context, f *factory.Factory, options *applyOptions, version uint64) error {
	if !options.Wait {
		return nil
	}
	return Wait(ctx, f, options.Client, version, options.WaitTime)
}

func dryRun(f *factory.Factory, current declarations.Versioned, differences []declaration.Difference) error {
	if err := declarations.WriteDiff(f.Streams.Out, differences); err != nil {
		return err
	}
	_, err := fmt.Fprintf(f.Streams.Out, "%d differences from version %d; nothing was changed\n", len(differences), current.Version)
	return err
}

// confirmRemovals asks the operator to confirm if the change removes groups,
// selectors or customers.
func confirmRemovals(f *factory.Factory, options *applyOptions, differences []declaration.Difference) error {
	removed := 0
	for _, d := range differences {
		if d.Action == declaration.Removed {
			removed++
		}
	}
	if removed == 0 {
		return nil
	}
	return f.Confirm(options.Confirmation, fmt.Sprintf("Remove %d groups, selectors or customers that the files don't declare?", removed))
}
