// Package command is the command line of the stand-in backend server.
//
// # Usage
//
//	os.Exit(command.Main())
package command

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	config "github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/keys"
	"github.com/burdockwood/burdockwood/internal/rpc/peerauth"
	"github.com/burdockwood/burdockwood/internal/standin/daemon"
)

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// settings are the flags of the program.
type settings struct {
	config.InternalTLS
	Name             string            `long:"name" required:"true" description:"name of the server, unique within its group"`
	Group            string            `long:"group" required:"true" description:"group of the server"`
	DataCentre       string            `long:"data-centre" description:"data centre of the server"`
	Labels           map[string]string `long:"label" key-value-delimiter:"=" description:"label of the server, key=value"`
	Listen           string            `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	Advertise        string            `long:"advertise" description:"IP:port to announce; empty: the one listened on"`
	Data             string            `long:"data" required:"true" description:"data folder"`
	Control          []string          `long:"control" env:"BURDOCKWOOD_CONTROL" env-delim:"," description:"IP:port of each control node"`
	KeyFile          string            `long:"key-file" env:"BURDOCKWOOD_KEY_FILE" description:"file with the key shared by the system's processes"`
	Password         string            `long:"password" description:"password asked of clients; empty trusts them"`
	Slots            int               `long:"slots" description:"requests executed at once; 0: no limit"`
	Connections      int               `long:"connections" description:"most connections; 0: no limit"`
	ConnectDelay     time.Duration     `long:"connect-delay" description:"time that opening a connection takes"`
	ServiceTime      time.Duration     `long:"service-time" description:"time added to each statement"`
	ShipDelay        time.Duration     `long:"ship-delay" description:"time before a commit is sent to replicas"`
	ApplyLag         time.Duration     `long:"apply-lag" description:"time before a replica applies what it received"`
	IdleInTx         time.Duration     `long:"idle-in-transaction" default:"5s" description:"longest silence within a transaction"`
	Unsynced         bool              `long:"unsynced" description:"don't sync commits to disk"`
	PrimaryTerm      uint64            `long:"primary-term" description:"start a new server as primary of this term; 0: wait"`
	SchemaFile       string            `long:"schema-file" description:"SQL file for a new primary"`
	Verbose          bool              `long:"verbose" description:"log every connection"`
	shutdown         <-chan struct{}
	controlAddresses []netip.AddrPort
	advertiseAddress netip.AddrPort
	credentials      *peerauth.Credentials
}

// Main runs the program and returns its exit code: 0 after a shutdown or --help,
// 1 if the server failed, 2 for invalid flags or credentials.
func Main() int {
	s, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailure
	}
	return exitOK
}

func parse(arguments []string) (*settings, error) {
	s := &settings{}
	rest, err := flags.NewParser(s, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(arguments)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("unexpected argument %q", rest[0])
	}
	for _, text := range s.Control {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("--control: %w", err)
		}
		s.controlAddresses = append(s.controlAddresses, address)
	}
	if s.Advertise != "" {
		if s.advertiseAddress, err = netip.ParseAddrPort(s.Advertise); err != nil {
			return nil, fmt.Errorf("--advertise: %w", err)
		}
	}
	if s.credentials, err = peerauth.Load(s.KeyFile, s.InternalTLS); err != nil {
		return nil, err
	}
	return s, nil
}

// serve runs the server until a signal or a failure. SIGTERM shuts it down
// gracefully; SIGINT or a second SIGTERM ends it at once.
func serve(s *settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	shutdown := make(chan struct{})
	s.shutdown = shutdown
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		return daemon.Run(ctx, s.options(), newLogger(s.Verbose))
	})
	group.Go(func() error {
		return keys.Watch(ctx, newLogger(s.Verbose), keys.DefaultReloadInterval, s.credentials.Reloaders()...)
	})
	group.Go(func() error {
		for shuttingDown := false; ; {
			select {
			case <-ctx.Done():
				return nil
			case received := <-signals:
				if shuttingDown || received == syscall.SIGINT {
					cancel()
					return nil
				}
				shuttingDown = true
				close(shutdown)
			}
		}
	})
	return group.Wait()
}

func (s *settings) options() daemon.Options {
	return daemon.Options{
		Listen:            s.Listen,
		Advertise:         s.advertiseAddress,
		DataFolder:        s.Data,
		Server:            cluster.ServerName(s.Name),
		Group:             cluster.GroupName(s.Group),
		DataCentre:        cluster.DataCentre(s.DataCentre),
		Labels:            s.Labels,
		Control:           s.controlAddresses,
		Credentials:       s.credentials,
		Password:          s.Password,
		Slots:             s.Slots,
		MaxConnections:    s.Connections,
		ConnectDelay:      s.ConnectDelay,
		ServiceTime:       s.ServiceTime,
		ShipDelay:         s.ShipDelay,
		ApplyLag:          s.ApplyLag,
		IdleInTransaction: s.IdleInTx,
		SkipSync:          s.Unsynced,
		PrimaryTerm:       cluster.Term(s.PrimaryTerm),
		SchemaFile:        s.SchemaFile,
		Shutdown:          s.shutdown,
	}
}

func newLogger(verbose bool) logr.Logger {
	verbosity := 0
	if verbose {
		verbosity = 1
	}
	write := func(line string) { fmt.Fprintln(os.Stderr, line) }
	return funcr.NewJSON(write, funcr.Options{LogTimestamp: true, Verbosity: verbosity})
}
