// Package choose decides which group serves a caller's request, under which
// tenant, and within which time.
//
// # Usage
//
//	choice := chooser.Choose(caller, request)
//	if !choice.Found {
//		// No selector matches: the request is refused.
//	}
package groupselect

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// DefaultTenant is the tenant of requests whose selector names none.
const DefaultTenant = "default"

type (
	// Choice is what a request gets.
	Choice struct {
		Found    bool
		Group    cluster.GroupName
		Tenant   string
		Weight   int
		Deadline time.Duration
		MaxAge   time.Duration
	}

	// Chooser decides for one version of the declarations.
	Chooser interface {
		Choose(caller *declaration.Caller, request declaration.Request) Choice
	}

	// ByDatabase serves each caller from the group that is named like its
	// database. It stands in while no selectors are declared.
	ByDatabase struct{}
)

// Choose picks the group named like the caller's database.
func (ByDatabase) Choose(caller *declaration.Caller, _ declaration.Request) Choice {
	return Choice{Found: true, Group: cluster.GroupName(caller.Database), Tenant: DefaultTenant, Weight: 1}
}
