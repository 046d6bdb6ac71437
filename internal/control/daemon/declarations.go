package daemon

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// defaultServerCount is the number of servers of a group whose declaration
	// states none.
	defaultServerCount = 3
	// maxListedProblems is the maximum number of problems that an error lists.
	maxListedProblems = 10
)

var errDeclarations = eris.New("the declarations can't be accepted")

// checkDeclarations returns why a text can't be accepted as declarations, or
// nil if it can.
func checkDeclarations(text string) error {
	parsed, problems := declaration.Parse(text)
	if len(problems) == 0 && parsed.HasPlainKeys() {
		return eris.Wrap(errDeclarations, "they hold customers' keys: send their digests, as burdockwood apply does")
	}
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, maxListedProblems)
	for _, problem := range problems[:min(len(problems), maxListedProblems)] {
		lines = append(lines, problem.String())
	}
	return eris.Wrap(errDeclarations, strings.Join(lines, "; "))
}

// parseDeclarations parses the part of accepted declarations that the coordinator
// needs. Before the first version is accepted, the text is empty.
func parseDeclarations(text string) (coordinator.ParsedDeclarations, error) {
	declarations := coordinator.ParsedDeclarations{Groups: map[cluster.GroupName]coordinator.DeclaredGroup{}}
	if text == "" {
		return declarations, nil
	}
	parsed, problems := declaration.Parse(text)
	if len(problems) > 0 {
		return declarations, eris.Wrap(errDeclarations, problems[0].String())
	}
	declarations.HasCustomers = len(parsed.Customers) > 0
	for _, group := range parsed.Groups {
		next := coordinator.DeclaredGroup{Servers: group.Servers, Labels: map[cluster.ServerName]cluster.Labels{}}
		if next.Servers == 0 {
			next.Servers = defaultServerCount
		}
		for _, server := range group.ServerLabels {
			next.Labels[server.Server] = server.Labels
		}
		declarations.Groups[group.Name] = next
	}
	return declarations, nil
}
