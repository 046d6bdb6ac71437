package customer

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/apply"
	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

var errKeyGone = eris.New("another change took the new key away again")

type rotateKeyOptions struct {
	keyOptions
	settings.Author
	factory.Confirmation
	Old      string        `long:"old" value-name:"DIGEST" description:"the key to withdraw, by the beginning of its digest; needed if the customer has several other keys"`
	AddOnly  bool          `long:"add-only" description:"add the new key, wait until it is in force everywhere, and withdraw nothing"`
	DryRun   bool          `long:"dry-run" description:"show the differences and change nothing"`
	WaitTime time.Duration `long:"wait-time" default:"30s" description:"most time to wait after each step"`
	settings.Client
}

func newCmdRotateKey(f *factory.Factory) *command.Command {
	options := &rotateKeyOptions{}
	return &command.Command{
		Name:  "rotate-key",
		Short: "Give a customer a new key and withdraw the old one",
		Long: `Give a customer a new key and withdraw the old one: add the new key, wait until it is
in force on every live proxy, withdraw the old key, and wait again. The new key is read
from a file or from standard input; only its digest is sent.

Callers must use the new key before the old one is withdrawn. With --add-only the
command ends before that; run it again without the flag once they do. After a failure
run the same command again: it goes on where it ended.

This changes the declarations in force: export them into version control afterwards, or
the next apply reverts the keys.`,
		Example: `burdockwood customer rotate-key harbour-hotel --new-key-file new.key --add-only
burdockwood customer rotate-key harbour-hotel --new-key-file new.key --yes
burdockwood customer rotate-key quarry --old jcj_pHEq --dry-run < new.key`,
		Arguments:    "NAME",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return rotateKeyRun(ctx, f, options, invocation.Arguments[0])
		},
	}
}

func rotateKeyRun(ctx context.Context, f *factory.Factory, options *rotateKeyOptions, name string) error {
	next, err := options.readDigest(f.Streams.In)
	if err != nil {
		return err
	}
	current, plan, err := fetchPlan(ctx, f, options, name, next, options.Old)
	if err != nil {
		return err
	}
	if options.AddOnly {
		plan.old = customer.Digest{}
	}
	if options.DryRun {
		return rotateDryRun(f, current, plan)
	}
	// Without a terminal, a missing --yes is found before anything is changed.
	if !plan.old.IsZero() && !f.Streams.CanPrompt {
		if err := confirmWithdrawal(f, options, plan); err != nil {
			return err
		}
	}
	version := current.Version
	if plan.add {
		if version, err = applyStep(ctx, f, options, current, plan.withKeyAdded(current.Declarations), "key "+declaration.ShortDigest(next)+" is added"); err != nil {
			return err
		}
	}
	if err := apply.Wait(ctx, f, options.Client, version, options.WaitTime); err != nil || plan.old.IsZero() {
		return err
	}
	if f.Streams.CanPrompt {
		if err := confirmWithdrawal(f, options, plan); err != nil {
			return err
		}
	}
	return withdraw(ctx, f, options, plan)
}

// withdraw withdraws the old key of the plan from the declarations that are in force by
// now.
func withdraw(ctx context.Context, f *factory.Factory, options *rotateKeyOptions, plan rotation) error {
	current, left, err := fetchPlan(ctx, f, options, string(plan.name), plan.next, plan.old.String())
	switch {
	case err != nil:
		return err
	case left.add:
		return exit.New(exit.Failed, exit.WithDetail(errKeyGone, "%s", declaration.ShortDigest(plan.next)), "see \"burdockwood config history\", then run the command again")
	}
	version := current.Version
	if !left.old.IsZero() {
		if version, err = applyStep(ctx, f, options, current, left.withOldWithdrawn(current.Declarations), "key "+declaration.ShortDigest(left.old)+" is withdrawn"); err != nil {
			return err
		}
	}
	return apply.Wait(ctx, f, options.Client, version, options.WaitTime)
}

func fetchPlan(ctx context.Context, f *factory.Factory, options *rotateKeyOptions, name string, next customer.Digest, oldPrefix string) (declarations.Versioned, rotation, error) {
	current, err := declarations.Fetch(ctx, f, options.Client, 0)
	if err != nil {
		return declarations.Versioned{}, rotation{}, err
	}
	plan, err := planRotation(current.Declarations, name, next, oldPrefix)
	return current, plan, err
}

// applyStep puts the declarations after a step in force and returns their version.
func applyStep(ctx context.Context, f *factory.Factory, options *rotateKeyOptions, current declarations.Versioned, next *declaration.Declarations, what string) (uint64, error) {
	request, err := declarations.NewApplyRequest(next, current.Version, "", options.Author)
	if err != nil {
		return 0, err
	}
	version, err := declarations.Apply(ctx, f, options.Client, request)
	if err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(f.Streams.Out, "version %d is accepted: %s\n", version, what)
	return version, err
}

func confirmWithdrawal(f *factory.Factory, options *rotateKeyOptions, plan rotation) error {
	return f.Confirm(options.Confirmation, fmt.Sprintf("Withdraw the key %s of customer %s? Callers that still use it are refused.", declaration.ShortDigest(plan.old), plan.name))
}

func rotateDryRun(f *factory.Factory, current declarations.Versioned, plan rotation) error {
	added := current.Declarations
	if plan.add {
		added = plan.withKeyAdded(added)
		if err := writeStep(f, "first:", current.Declarations, added); err != nil {
			return err
		}
	}
	if !plan.old.IsZero() {
		if err := writeStep(f, "once that is in force everywhere:", added, plan.withOldWithdrawn(added)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(f.Streams.Out, "nothing was changed in version %d\n", current.Version)
	return err
}

func writeStep(f *factory.Factory, title string, before, after *declaration.Declarations) error {
	if _, err := fmt.Fprintln(f.Streams.Out, title); err != nil {
		return err
	}
	return declarations.WriteDiff(f.Streams.Out, before.Diff(after))
}
