package daemon

import (
	"sync"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/control/node"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

// declaredGroups caches the names of the declared groups, so that reading the
// metrics parses each version of the declarations only once.
type declaredGroups struct {
	mu      sync.Mutex
	version cluster.Version
	names   []cluster.GroupName
}

// newMetrics returns gauges whose values are computed when they are read.
func newMetrics(stateMachine *state.Machine, controlNode *node.Node) metrics.Registry {
	var declared declaredGroups
	registry := metrics.NewRegistry()
	metrics.GaugeFunc(registry, "leads", func() int64 {
		if _, leads := controlNode.IsLeader(); leads {
			return 1
		}
		return 0
	})
	metrics.GaugeFunc(registry, "epoch", func() int64 {
		leader, _ := controlNode.Leader()
		return int64(leader.Epoch)
	})
	metrics.GaugeFunc(registry, "log-index", func() int64 { return int64(controlNode.AppliedIndex()) })
	metrics.GaugeFunc(registry, "declarations-version", func() int64 { return int64(stateMachine.View().Version) })
	metrics.GaugeFunc(registry, "groups", func() int64 { return int64(len(declared.namesFor(stateMachine.View()))) })
	metrics.GaugeFunc(registry, "groups-without-primary", func() int64 {
		view := stateMachine.View()
		return countWithoutPrimary(declared.namesFor(view), view)
	})
	return registry
}

// namesFor returns the names of the groups that are declared in a state.
func (d *declaredGroups) namesFor(view *state.State) []cluster.GroupName {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version == view.Version {
		return d.names
	}
	// Control accepts only declarations without problems.
	declared, _ := declaration.Parse(view.Declarations)
	d.version = view.Version
	d.names = nil
	for _, group := range declared.Groups {
		d.names = append(d.names, group.Name)
	}
	return d.names
}

// countWithoutPrimary counts the groups whose first term is not in force yet or
// whose next term is being established.
func countWithoutPrimary(names []cluster.GroupName, view *state.State) int64 {
	count := int64(0)
	for _, name := range names {
		group, known := view.Groups[name]
		if !known || group.Term == 0 || group.Pending != nil {
			count++
		}
	}
	return count
}
