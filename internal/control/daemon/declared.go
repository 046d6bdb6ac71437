package daemon

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// defaultServers is the number of servers of a group that declares none.
	defaultServers = 3
	// maxFaults is the number of faults that an answer names.
	maxFaults = 10
)

var errDeclarations = eris.New("the declarations can't be accepted")

// checkDeclarations tells why a text can't be accepted.
func checkDeclarations(text string) error {
	_, faults := declaration.Parse(text)
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, 0, maxFaults)
	for _, fault := range faults[:min(len(faults), maxFaults)] {
		lines = append(lines, fault.String())
	}
	return eris.Wrap(errDeclarations, strings.Join(lines, "; "))
}

// parseDeclared reads what the coordinator needs of accepted declarations.
// Before the first version there is no text.
func parseDeclared(text string) (coordinator.Declared, error) {
	declared := coordinator.Declared{Groups: map[cluster.GroupName]coordinator.DeclaredGroup{}}
	if text == "" {
		return declared, nil
	}
	parsed, faults := declaration.Parse(text)
	if len(faults) > 0 {
		return declared, eris.Wrap(errDeclarations, faults[0].String())
	}
	for _, group := range parsed.Groups {
		next := coordinator.DeclaredGroup{Servers: group.Servers, Labels: map[cluster.ServerName]cluster.Labels{}}
		if next.Servers == 0 {
			next.Servers = defaultServers
		}
		for _, server := range group.ServerLabels {
			next.Labels[server.Server] = server.Labels
		}
		declared.Groups[group.Name] = next
	}
	return declared, nil
}
