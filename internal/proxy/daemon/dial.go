package daemon

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
)

// errNoDial tells that the platform interface isn't joined yet.
var errNoDial = eris.New("the platform interface is not built in")

// dialPlatform stands in until the adapter's Dial has landed.
func dialPlatform(context.Context, netip.AddrPort, adapter.Credentials) (adapter.Server, error) {
	return nil, errNoDial
}
