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
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	pollInterval = 100 * time.Millisecond
	// maxLastContactMS is the time in milliseconds since control's last
	// contact with a proxy above which the proxy doesn't count as live.
	maxLastContactMS = 5000
)

var errNotInForce = eris.New("the version is accepted but not yet in force everywhere")

// progress holds which proxies have a version in force.
type progress struct {
	// live is the number of live proxies.
	live int
	// missing are the live proxies with an older version.
	missing []string
	// withoutContact are the proxies that aren't live.
	withoutContact []string
}

// Wait waits until every live proxy has the version, for at most limit. When that ends,
// it returns an error with the code exit.WaitTimeout.
func Wait(ctx context.Context, f *factory.Factory, client settings.Client, version uint64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := f.Now()
	lastLine := ""
	for {
		status, err := factory.FetchStatus(ctx, f, client)
		if err != nil && ctx.Err() == nil {
			return err
		}
		p := progressOf(status, version)
		if err == nil && len(p.missing) == 0 {
			_, err := fmt.Fprintf(f.Streams.Out, "version %d is in force on %d live proxies after %v%s\n", version, p.live, f.Now().Sub(start).Round(time.Millisecond), p.withoutContactNote())
			return err
		}
		if line := p.summary(version); err == nil && line != lastLine {
			fmt.Fprintln(f.Streams.Err, line)
			lastLine = line
		}
		if !pause.For(ctx, pollInterval) {
			return exit.New(exit.WaitTimeout, exit.WithDetail(errNotInForce, "%s", lastLine), "look at these proxies with \"burdockwood proxy list\"")
		}
	}
}

func progressOf(status *controlpb.StatusResponse, version uint64) progress {
	var p progress
	for _, proxy := range status.GetProxies() {
		name := proxy.GetProxy().GetName()
		if proxy.GetLastHeardMs() > maxLastContactMS {
			p.withoutContact = append(p.withoutContact, name)
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

func (p progress) summary(version uint64) string {
	return fmt.Sprintf("version %d: on %d of %d live proxies, missing on %s%s", version, p.live-len(p.missing), p.live, strings.Join(p.missing, ", "), p.withoutContactNote())
}

func (p progress) withoutContactNote() string {
	if len(p.withoutContact) == 0 {
		return ""
	}
	return "; not heard of: " + strings.Join(p.withoutContact, ", ")
}
