// Package factory gives commands what they need from outside: streams, the
// clock, the environment, a client of control and the roles.
//
// # Usage
//
//	f := factory.New(version)
//	cmd := group.NewCmdGroup(f)
//
//	response, err := factory.Call(ctx, f, options.Client, func(ctx context.Context, c controlpb.Control) (*controlpb.StatusResponse, error) {
//		return c.Status(ctx, &controlpb.StatusRequest{})
//	})
package factory

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/iostreams"
	"github.com/burdockwood/burdockwood/internal/cli/role"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	controldaemon "github.com/burdockwood/burdockwood/internal/control/daemon"
	proxydaemon "github.com/burdockwood/burdockwood/internal/proxy/daemon"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/leader"
	"github.com/burdockwood/burdockwood/internal/rpc/peerauth"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	callTimeout = 5 * time.Second
	tryTimeout  = 2 * time.Second
	// longTimeout bounds calls that control answers late.
	longTimeout = 12 * time.Second
)

var errDeclined = eris.New("nothing was changed")

type (
	// Factory holds what commands need from outside.
	Factory struct {
		Streams     *iostreams.Streams
		Now         func() time.Time
		Environment []string
		Version     string
		// Client returns a client of the control nodes.
		Client func(options settings.Client) (*leader.Client, *http.Client, error)
		// NewProxy and StartControl prepare a role; its Run serves.
		NewProxy   func(options settings.Proxy, logger logr.Logger) (role.Role, error)
		NewControl func(options settings.Control, logger logr.Logger) (role.Role, error)
	}

	// Confirmation is the flag of commands that ask before they act.
	Confirmation struct {
		Yes bool `short:"y" long:"yes" description:"don't ask, act"`
	}
)

// New returns the factory of the real process.
func New(version string) *Factory {
	return &Factory{
		Streams:     iostreams.System(),
		Now:         time.Now,
		Environment: os.Environ(),
		Version:     version,
		Client:      newClient,
		NewProxy: func(options settings.Proxy, logger logr.Logger) (role.Role, error) {
			return proxydaemon.New(options, logger)
		},
		NewControl: func(options settings.Control, logger logr.Logger) (role.Role, error) {
			return controldaemon.New(options, logger)
		},
	}
}

// Call calls the leading control node. Errors carry an exit code.
func Call[T any](ctx context.Context, f *Factory, options settings.Client, call func(context.Context, controlpb.Control) (T, error)) (T, error) {
	return timedCall(ctx, f, options, callTimeout, tryTimeout, call)
}

// LongCall is Call for requests that control answers once something has
// happened.
func LongCall[T any](ctx context.Context, f *Factory, options settings.Client, call func(context.Context, controlpb.Control) (T, error)) (T, error) {
	return timedCall(ctx, f, options, longTimeout, 0, call)
}

func timedCall[T any](ctx context.Context, f *Factory, options settings.Client, all, try time.Duration, call func(context.Context, controlpb.Control) (T, error)) (T, error) {
	var response T
	client, _, err := f.Client(options)
	if err != nil {
		return response, err
	}
	ctx, cancel := context.WithTimeout(ctx, all)
	defer cancel()
	err = client.Do(ctx, try, func(ctx context.Context, control controlpb.Control) error {
		var err error
		response, err = call(ctx, control)
		return err
	})
	return response, exit.FromControl(err)
}

// FetchStatus asks the leading control node for all that it knows.
func FetchStatus(ctx context.Context, f *Factory, options settings.Client) (*controlpb.StatusResponse, error) {
	return Call(ctx, f, options, func(ctx context.Context, c controlpb.Control) (*controlpb.StatusResponse, error) {
		return c.Status(ctx, &controlpb.StatusRequest{})
	})
}

// FetchDeclarations asks for one version of the declarations; 0 is the newest.
func FetchDeclarations(ctx context.Context, f *Factory, options settings.Client, version uint64) (*controlpb.GetDeclarationsResponse, error) {
	return Call(ctx, f, options, func(ctx context.Context, c controlpb.Control) (*controlpb.GetDeclarationsResponse, error) {
		return c.GetDeclarations(ctx, &controlpb.GetDeclarationsRequest{Version: version})
	})
}

// Confirm asks the question unless --yes is given. Without a terminal and
// without --yes it refuses.
func (f *Factory) Confirm(yes Confirmation, question string) error {
	if yes.Yes {
		return nil
	}
	if !f.Streams.CanPrompt {
		return exit.New(exit.Usage, exit.WithDetail(errDeclined, "%s", question), "add --yes to act without a question")
	}
	ok, err := f.Streams.Confirm(question)
	if err != nil {
		return err
	}
	if !ok {
		return exit.New(exit.Failed, errDeclined, "")
	}
	return nil
}

func newClient(options settings.Client) (*leader.Client, *http.Client, error) {
	trusted, err := peerauth.Load(options.KeyFile, options.InternalTLS)
	if err != nil {
		return nil, nil, exit.New(exit.Usage, err, "check the files")
	}
	httpClient := trusted.Client(transport.Options{})
	return leader.New(options.ControlAddresses(), httpClient), httpClient, nil
}

// Drain asks that a server ("group/server") or proxy gets no new work, or
// ends that.
func Drain(ctx context.Context, f *Factory, options settings.Client, kind, name string, undo bool) error {
	request := &controlpb.DrainRequest{Kind: kind, Name: name, Undo: undo}
	_, err := Call(ctx, f, options, func(ctx context.Context, c controlpb.Control) (*controlpb.DrainResponse, error) {
		return c.Drain(ctx, request)
	})
	if err != nil {
		return err
	}
	state := "draining"
	if undo {
		state = "takes work again"
	}
	_, err = fmt.Fprintf(f.Streams.Out, "%s %s: %s\n", kind, name, state)
	return err
}
