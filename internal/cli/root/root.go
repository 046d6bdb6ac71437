// Package root implements the program burdockwood, the tree of all commands.
//
// # Usage
//
//	func main() { os.Exit(root.Main()) }
package root

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/burdockwood/burdockwood/internal/cli/apply"
	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/completion"
	"github.com/burdockwood/burdockwood/internal/cli/config"
	"github.com/burdockwood/burdockwood/internal/cli/control"
	"github.com/burdockwood/burdockwood/internal/cli/customer"
	"github.com/burdockwood/burdockwood/internal/cli/dev"
	"github.com/burdockwood/burdockwood/internal/cli/doctor"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/explain"
	"github.com/burdockwood/burdockwood/internal/cli/export"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/failover"
	"github.com/burdockwood/burdockwood/internal/cli/group"
	"github.com/burdockwood/burdockwood/internal/cli/proxy"
	"github.com/burdockwood/burdockwood/internal/cli/selector"
	"github.com/burdockwood/burdockwood/internal/cli/server"
	"github.com/burdockwood/burdockwood/internal/cli/session"
	"github.com/burdockwood/burdockwood/internal/cli/top"
	"github.com/burdockwood/burdockwood/internal/cli/version"
	"github.com/burdockwood/burdockwood/internal/ops/build"
)

const programName = "burdockwood"

// Main runs the program and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	f := factory.New(build.Version())
	return int(Run(ctx, f, os.Args[1:]))
}

// Run runs one command line and returns its exit code. Errors are written to
// the factory's error stream.
func Run(ctx context.Context, f *factory.Factory, args []string) exit.Code {
	err := NewCmdRoot(f).Execute(ctx, f.Streams, args, f.Environment)
	if err != nil {
		fmt.Fprintf(f.Streams.Err, "%s: %v\n", programName, err)
	}
	return exit.CodeOf(err)
}

// NewCmdRoot returns the tree of all commands.
func NewCmdRoot(f *factory.Factory) *command.Command {
	root := &command.Command{
		Name:  programName,
		Short: "A database proxy with session consistency",
		Long: `A database proxy with session consistency.

Exit codes: 0 done, 1 failed, 2 wrong usage, settings or declarations,
4 refused by control, 5 control is unreachable, 6 timed out waiting.`,
		Example: `burdockwood apply -f examples/guild --dry-run
burdockwood selector test --database ledger-north --user payroll --kind write`,
	}
	root.Commands = []*command.Command{
		dev.NewCmdDev(f),
		proxy.NewCmdProxy(f),
		control.NewCmdControl(f),
		apply.NewCmdApply(f),
		export.NewCmdExport(f),
		group.NewCmdGroup(f),
		selector.NewCmdSelector(f),
		customer.NewCmdCustomer(f),
		server.NewCmdServer(f),
		session.NewCmdSession(f),
		config.NewCmdConfig(f),
		failover.NewCmdFailover(f),
		doctor.NewCmdDoctor(f),
		explain.NewCmdExplain(f),
		top.NewCmdTop(f),
		completion.NewCmdCompletion(f),
		version.NewCmdVersion(f),
		completion.NewCmdComplete(f, root),
	}
	return root.LinkParents()
}
