package daemon

import (
	"sync"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/control/node"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

// declaredGroups keeps the names of the declared groups, so that reading the
// metrics parses each version of the declarations once.
type declaredGroups struct {
	mu      sync.Mutex
	version cluster.Version
	names   []cluster.GroupName
}

// newMetrics returns gauges that are worked out when they are read.
func newMetrics(machine *state.Machine, log *node.Node) metrics.Registry {
	var declared declaredGroups
	registry := metrics.New()
	metrics.GaugeFunc(registry, "leads", func() int64 {
		if _, leads := log.IsLeader(); leads {
			return 1
		}
		return 0
	})
	metrics.GaugeFunc(registry, "epoch", func() int64 {
		leader, _ := log.Leader()
		return int64(leader.Epoch)
	})
	metrics.GaugeFunc(registry, "log-index", func() int64 { return int64(log.AppliedIndex()) })
	metrics.GaugeFunc(registry, "declarations-version", func() int64 { return int64(machine.View().Version) })
	metrics.GaugeFunc(registry, "groups", func() int64 { return int64(len(declared.of(machine.View()))) })
	metrics.GaugeFunc(registry, "groups-without-primary", func() int64 {
		view := machine.View()
		return withoutPrimary(declared.of(view), view)
	})
	return registry
}

func (d *declaredGroups) of(view *state.State) []cluster.GroupName {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version == view.Version {
		return d.names
	}
	// Control accepts only declarations without faults.
	declared, _ := declaration.Parse(view.Declarations)
	d.version = view.Version
	d.names = nil
	for _, group := range declared.Groups {
		d.names = append(d.names, group.Name)
	}
	return d.names
}

// withoutPrimary counts the groups whose first term is not in force or whose
// next one is being established.
func withoutPrimary(names []cluster.GroupName, view *state.State) int64 {
	count := int64(0)
	for _, name := range names {
		group, known := view.Groups[name]
		if !known || group.Term == 0 || group.Pending != nil {
			count++
		}
	}
	return count
}
