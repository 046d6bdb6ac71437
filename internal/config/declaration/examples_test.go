package declaration_test

import (
	"os"
	"testing"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

func TestExampleDeclarations(t *testing.T) {
	tests := []struct {
		folder   string
		database string
		user     string
		kind     declaration.Kind
		selector string
	}{
		{"guild", "ledger-north", "payroll", declaration.KindWrite, "payments"},
		{"guild", "ledger-north", "crew", declaration.KindAgedRead, "balances"},
		{"guild", "ledger-north", "crew", declaration.KindWrite, ""},
		{"guild", "ledger-north", "clerk", declaration.KindRead, "reconciliation"},
		{"guild", "ledger-nort", "payroll", declaration.KindWrite, ""},
		{"ecouri", "cases-west", "office", declaration.KindWrite, "submissions"},
		{"ecouri", "cases-west", "faculty", declaration.KindWrite, "evidence"},
		{"ecouri", "cases-west", "editor", declaration.KindRead, "drafts"},
		{"ecouri", "cases-west", "reviewer", declaration.KindAgedRead, "browsing"},
		{"ecouri", "cases-west", "reviewer", declaration.KindWrite, ""},
	}
	for _, test := range tests {
		t.Run(test.folder+"/"+test.user+"/"+string(test.kind), func(t *testing.T) {
			declarations, problems := declaration.ParseDir(os.DirFS("../../../examples/" + test.folder))
			if len(problems) > 0 {
				t.Fatalf("problems: got %v, want none", problems)
			}
			got := declarations.Select(declaration.Caller{Database: test.database, User: test.user}, declaration.Request{Kind: test.kind})
			if test.selector == "" {
				if got.Found {
					t.Errorf("got selector %q, want none", got.Selector.Name)
				}
				return
			}
			if !got.Found || got.Selector.Name != test.selector || string(got.Group) != test.database {
				t.Errorf("got %+v, want selector %q and group %q", got, test.selector, test.database)
			}
		})
	}
}

func TestExampleCustomers(t *testing.T) {
	declarations, problems := declaration.ParseDir(os.DirFS("../../../examples/customers"))
	if len(problems) > 0 {
		t.Fatalf("problems: got %v, want none", problems)
	}
	got, ok := declarations.Customer("harbour-hotel")
	if !ok || len(got.Keys) != 2 || got.Keys[0] != customer.DigestOf("harbour-hotel-example-key-1") {
		t.Errorf("got %+v, want harbour-hotel with the digests of two keys", got)
	}
}
