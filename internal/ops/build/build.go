// Package build says which build of burdockwood runs, so that operators can tell which VMs
// have been upgraded.
//
// # Usage
//
//	logger.Info("start", "build", build.Version())
//	build.Register(registry) // the metric build{version="..."}
package build

import (
	"runtime/debug"

	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

// unknownVersion is the version of a binary without build information.
const unknownVersion = "unknown"

// Version returns the version of the main module, which names the commit if the binary was
// built in a checkout.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return unknownVersion
	}
	return info.Main.Version
}

// Register adds a gauge to the registry that is always 1 and has the version as a label.
func Register(registry metrics.Registry) {
	metrics.Gauge(registry, "build", "version", Version()).Update(1)
}
