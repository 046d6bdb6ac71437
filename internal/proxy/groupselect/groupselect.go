// Package groupselect decides which group serves a caller's request, for which
// tenant the request counts, and which deadline and maximum data age apply. A
// group is a primary backend server with its replicas. Operators declare
// selectors, rules that assign requests to groups by their caller, kind and
// labels.
//
// # Usage
//
//	choice := chooser.Choose(caller, request)
//	if !choice.Found {
//		// No selector matches: refuse the request.
//	}
package groupselect

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// DefaultTenant is the tenant of requests whose selector declares none.
const DefaultTenant = "default"

type (
	// Choice is the result of Choose. Weight is the tenant's share under
	// overload; a zero Deadline or MaxAge means that the selector declares
	// none.
	Choice struct {
		Found    bool
		Group    cluster.GroupName
		Tenant   string
		Weight   int
		Deadline time.Duration
		MaxAge   time.Duration
	}

	// Chooser selects the group by one version of the declarations.
	Chooser interface {
		Choose(caller *declaration.Caller, request declaration.Request) Choice
	}

	// ByDatabase serves each caller from the group that has the name of its
	// database. It is used as long as no selectors are declared.
	ByDatabase struct{}
)

// Choose returns the group that has the name of the caller's database.
func (ByDatabase) Choose(caller *declaration.Caller, _ declaration.Request) Choice {
	return Choice{Found: true, Group: cluster.GroupName(caller.Database), Tenant: DefaultTenant, Weight: 1}
}
