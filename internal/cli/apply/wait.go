package apply

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	pollInterval = 100 * time.Millisecond
	// liveMS is the silence in milliseconds after which a proxy doesn't
	// count as live.
	liveMS = 5000
)

var errWait = eris.New("the version is accepted but not yet in force everywhere")

// progress is how far a version has come.
type progress struct {
	live    int
	missing []string
	silent  []string
}

func waitIfAsked(ctx context.Context, f *factory.Factory, options *applyOptions, version uint64) error {
	if !options.Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, options.WaitTime)
	defer cancel()
	start := f.Now()
	last := ""
	for {
		status, err := factory.FetchStatus(ctx, f, options.Client)
		if err != nil && ctx.Err() == nil {
			return err
		}
		p := progressOf(status, version)
		if err == nil && len(p.missing) == 0 {
			_, err := fmt.Fprintf(f.Streams.Out, "version %d is in force on %d live proxies after %v%s\n", version, p.live, f.Now().Sub(start).Round(time.Millisecond), p.silentNote())
			return err
		}
		if line := p.line(version); err == nil && line != last {
			fmt.Fprintln(f.Streams.Err, line)
			last = line
		}
		if !pause.For(ctx, pollInterval) {
			return exit.New(exit.WaitTimeout, exit.WithDetail(errWait, "%s", last), "look at these proxies with \"burdockwood proxy list\"")
		}
	}
}

func progressOf(status *controlpb.StatusResponse, version uint64) progress {
	var p progress
	for _, proxy := range status.GetProxies() {
		name := proxy.GetProxy().GetName()
		if proxy.GetLastHeardMs() > liveMS {
			p.silent = append(p.silent, name)
			continue
		}
		p.live++
		if proxy.GetVersion() < version {
			p.missing = append(p.missing, name)
		}
	}
	slices.Sort(p.missing)
	return p
}

func (p progress) line(version uint64) string {
	return fmt.Sprintf("version %d: on %d of %d live proxies, missing on %s%s", version, p.live-len(p.missing), p.live, strings.Join(p.missing, ", "), p.silentNote())
}

func (p progress) silentNote() string {
	if len(p.silent) == 0 {
		return ""
	}
	return "; not heard of: " + strings.Join(p.silent, ", ")
}
