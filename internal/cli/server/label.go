package server

import (
	"context"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var (
	errInvalidLabelEdit = eris.New("a label is set with KEY=VALUE and removed with KEY-")
	errUnknownGroup     = eris.New("no such group is declared")
)

type labelOptions struct {
	settings.Author
	settings.Client
}

func newCmdLabel(f *factory.Factory) *command.Command {
	options := &labelOptions{}
	return &command.Command{
		Name:  "label",
		Short: "Set and remove declared labels of a backend server",
		Long: `Set and remove declared labels of a backend server. The label leaving=true
drains it. This changes the declarations in force: export them into version
control afterwards, or the next apply reverts the labels.`,
		Example: `burdockwood server label ledger-1/a leaving=true
burdockwood server label ledger-1/a leaving-`,
		Arguments:    "GROUP/SERVER LABEL...",
		MinArguments: 2,
		MaxArguments: 100,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return labelRun(ctx, f, options, invocation.Arguments[0], invocation.Arguments[1:])
		},
	}
}

func labelRun(ctx context.Context, f *factory.Factory, options *labelOptions, text string, edits []string) error {
	target, err := parseName(text)
	if err != nil {
		return err
	}
	current, err := declarations.Fetch(ctx, f, options.Client, 0)
	if err != nil {
		return err
	}
	next, err := relabel(current.Declarations, target, edits)
	if err != nil {
		return err
	}
	request, err := declarations.NewApplyRequest(next, current.Version, "", options.Author)
	if err != nil {
		return err
	}
	version, err := declarations.Apply(ctx, f, options.Client, request)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f.Streams.Out, "version %d is accepted\n", version)
	return err
}

// relabel returns new declarations with the edits applied to the server's labels.
// It doesn't change d.
func relabel(d *declaration.Declarations, target serverName, edits []string) (*declaration.Declarations, error) {
	next := *d
	next.Groups = nil
	found := false
	for _, g := range d.Groups {
		if g.Name == target.group {
			found = true
			labels, err := editLabels(g.ServerLabels, target.server, edits)
			if err != nil {
				return nil, err
			}
			g.ServerLabels = labels
		}
		next.Groups = append(next.Groups, g)
	}
	if !found {
		return nil, exit.New(exit.Failed, exit.WithDetail(errUnknownGroup, "%q", target.group), "see \"burdockwood group list\"")
	}
	return &next, nil
}

// editLabels returns all labels with the edits applied to those of the server. An
// edit is KEY=VALUE, which sets a label, or KEY-, which removes it.
func editLabels(all []declaration.ServerLabels, server cluster.ServerName, edits []string) ([]declaration.ServerLabels, error) {
	labels := make(cluster.Labels)
	var next []declaration.ServerLabels
	for _, s := range all {
		if s.Server != server {
			next = append(next, s)
			continue
		}
		for key, value := range s.Labels {
			labels[key] = value
		}
	}
	for _, edit := range edits {
		if key, value, ok := strings.Cut(edit, "="); ok {
			labels[key] = value
		} else if key, ok := strings.CutSuffix(edit, "-"); ok {
			delete(labels, key)
		} else {
			return nil, exit.New(exit.Usage, exit.WithDetail(errInvalidLabelEdit, "%q", edit), "")
		}
	}
	if len(labels) > 0 {
		next = append(next, declaration.ServerLabels{Server: server, Labels: labels})
	}
	return next, nil
}
