package daemon

import (
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// defaultServers is the number of servers of a group that declares none.
const defaultServers = 3

var errDeclarations = eris.New("the declarations can't be accepted")

// checkDeclarations tells why a text can't be accepted.
func checkDeclarations(text string) error {
	_, err := parseDeclared(text)
	return err
}

// parseDeclared reads what the coordinator needs of declarations.
func parseDeclared(text string) (coordinator.Declared, error) {
	var parsed declaration.Declarations
	if err := yaml.Unmarshal([]byte(text), &parsed); err != nil {
		return coordinator.Declared{}, eris.Wrap(errDeclarations, err.Error())
	}
	declared := coordinator.Declared{Groups: map[cluster.GroupName]coordinator.DeclaredGroup{}}
	for _, group := range parsed.Groups {
		if group.Name == "" {
			return coordinator.Declared{}, eris.Wrap(errDeclarations, "a group has no name")
		}
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
