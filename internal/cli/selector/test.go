package selector

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var errRefused = eris.New("the request would be refused")

type testOptions struct {
	declarationSource
	Database      string   `long:"database" description:"database that the caller names"`
	User          string   `long:"user" description:"the caller's user"`
	Application   string   `long:"application" description:"the caller's application name"`
	Address       string   `long:"address" value-name:"IP" description:"the caller's address"`
	Labels        []string `long:"label" value-name:"KEY=VALUE" description:"label of the caller"`
	Kind          string   `long:"kind" default:"read" description:"read, write or aged-read"`
	RequestLabels []string `long:"request-label" value-name:"KEY=VALUE" description:"label of the request"`
}

func newCmdTest(f *factory.Factory) *command.Command {
	options := &testOptions{}
	return &command.Command{
		Name:  "test",
		Short: "Show which selector and group a request would get, and why",
		Long: `Show which selector and group a request would get, and why. The exit code is 1
if the request would be refused.`,
		Example: `burdockwood selector test --database ledger-north --user payroll --kind write
burdockwood selector test -f examples/guild --database ledger-north --user crew --kind aged-read`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			return testRun(ctx, f, options)
		},
	}
}

// Check returns all problems of the flags.
func (o *testOptions) Check() settings.Problems {
	problems := o.Client.Check()
	if !slices.Contains(declaration.Kinds, declaration.Kind(o.Kind)) {
		problems = append(problems, settings.Problem{Setting: "--kind", Text: fmt.Sprintf("%q is not a kind of request", o.Kind), Fix: "use read, write or aged-read"})
	}
	if _, err := netip.ParseAddr(o.Address); o.Address != "" && err != nil {
		problems = append(problems, settings.Problem{Setting: "--address", Text: fmt.Sprintf("%q is not an IP address", o.Address)})
	}
	for _, label := range slices.Concat(o.Labels, o.RequestLabels) {
		if !strings.Contains(label, "=") {
			problems = append(problems, settings.Problem{Setting: "--label", Text: fmt.Sprintf("%q is not KEY=VALUE", label)})
		}
	}
	return problems
}

func testRun(ctx context.Context, f *factory.Factory, options *testOptions) error {
	declared, err := options.load(ctx, f)
	if err != nil {
		return err
	}
	match := declared.Explain(options.caller(), options.request())
	for _, step := range match.Steps {
		fmt.Fprintln(f.Streams.Out, step)
	}
	if !match.Found {
		return exit.New(exit.Failed, errRefused, "declare a selector for such requests")
	}
	fmt.Fprintf(f.Streams.Out, "group\t%s\n", match.Group)
	if s := match.Selector; s != nil {
		fmt.Fprintf(f.Streams.Out, "selector\t%s\ntenant\t%s\nweight\t%d\ndeadline\t%v\nmax-age\t%v\n", s.Name, s.Tenant, s.Weight, s.Deadline, s.MaxAge)
	}
	return nil
}

func (o *testOptions) caller() declaration.Caller {
	// Check has validated the address. Without --address it is the zero Addr.
	address, _ := netip.ParseAddr(o.Address)
	return declaration.Caller{
		Database:    o.Database,
		User:        o.User,
		Application: o.Application,
		Address:     address,
		Labels:      parseLabels(o.Labels),
	}
}

func (o *testOptions) request() declaration.Request {
	return declaration.Request{Kind: declaration.Kind(o.Kind), Labels: parseLabels(o.RequestLabels)}
}

func parseLabels(pairs []string) cluster.Labels {
	labels := make(cluster.Labels)
	for _, pair := range pairs {
		key, value, _ := strings.Cut(pair, "=")
		labels[key] = value
	}
	return labels
}
