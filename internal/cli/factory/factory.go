// Package factory provides the dependencies of commands: the standard streams,
// the clock, the environment, a client of control, and constructors of the
// roles. It also has the calls to control that several commands share.
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
	callTimeout    = 5 * time.Second
	attemptTimeout = 2 * time.Second
	// longCallTimeout bounds calls to which control responds only when an
	// operation is done.
	longCallTimeout = 12 * time.Second
)

var errDeclined = eris.New("nothing was changed")

type (
	// Factory holds the dependencies of commands.
	Factory struct {
		Streams     *iostreams.Streams
		Now         func() time.Time
		Environment []string
		Version     string
		// Client returns a client of the control nodes, and the HTTP client
		// that it uses.
		Client func(options settings.Client) (*leader.Client, *http.Client, error)
		// NewProxy and NewControl return a role that is ready to run.
		NewProxy   func(options settings.Proxy, logger logr.Logger) (role.Role, error)
		NewControl func(options settings.Control, logger logr.Logger) (role.Role, error)
	}

	// Confirmation is the flag that skips the question of commands that ask
	// for confirmation.
	Confirmation struct {
		Yes bool `short:"y" long:"yes" description:"don't ask, act"`
	}
)

// New returns a factory with the streams, clock and environment of the process.
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

// Call runs call with a client of the leading control node. It retries until a
// node accepts the call, for 5 s at most. Errors have an exit code.
func Call[T any](ctx context.Context, f *Factory, options settings.Client, call func(context.Context, controlpb.Control) (T, error)) (T, error) {
	return timedCall(ctx, f, options, callTimeout, attemptTimeout, call)
}

// LongCall is like Call for requests to which control responds only when an
// operation is done. It allows 12 s, and a single attempt may take all of them.
func LongCall[T any](ctx context.Context, f *Factory, options settings.Client, call func(context.Context, controlpb.Control) (T, error)) (T, error) {
	return timedCall(ctx, f, options, longCallTimeout, 0, call)
}

func timedCall[T any](ctx context.Context, f *Factory, options settings.Client, timeout, perAttempt time.Duration, call func(context.Context, controlpb.Control) (T, error)) (T, error) {
	var response T
	client, _, err := f.Client(options)
	if err != nil {
		return response, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = client.Do(ctx, perAttempt, func(ctx context.Context, control controlpb.Control) error {
		var err error
		response, err = call(ctx, control)
		return err
	})
	return response, exit.FromControl(err)
}

// FetchStatus returns the status of the whole system from the leading control
// node.
func FetchStatus(ctx context.Context, f *Factory, options settings.Client) (*controlpb.StatusResponse, error) {
	return Call(ctx, f, options, func(ctx context.Context, c controlpb.Control) (*controlpb.StatusResponse, error) {
		return c.Status(ctx, &controlpb.StatusRequest{})
	})
}

// FetchDeclarations returns one version of the declarations from control;
// version 0 is the newest.
func FetchDeclarations(ctx context.Context, f *Factory, options settings.Client, version uint64) (*controlpb.GetDeclarationsResponse, error) {
	return Call(ctx, f, options, func(ctx context.Context, c controlpb.Control) (*controlpb.GetDeclarationsResponse, error) {
		return c.GetDeclarations(ctx, &controlpb.GetDeclarationsRequest{Version: version})
	})
}

// Confirm asks the operator the question, unless --yes is set. It returns an
// error if the operator declines, or if there is neither a terminal nor --yes.
func (f *Factory) Confirm(flag Confirmation, question string) error {
	if flag.Yes {
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
	credentials, err := peerauth.Load(options.KeyFile, options.InternalTLS)
	if err != nil {
		return nil, nil, exit.New(exit.Usage, err, "check the key and certificate files")
	}
	httpClient := credentials.Client(transport.Options{})
	return leader.New(options.ControlAddresses(), httpClient), httpClient, nil
}

// Drain asks control to drain a server or a proxy, which then gets no new work, or
// to end its drain if undo is set. kind is "server" or "proxy"; a server's name
// is "group/server".
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
