package doctor

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/burdockwood/burdockwood/internal/cli/scrape"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

const (
	// maxRefusedPercent is the share of a customer's operations that may be refused
	// without a finding, of minOperations or more.
	maxRefusedPercent = 5
	minOperations     = 100
	// maxListed bounds the findings and the names in one of them.
	maxListed = 5
)

// refusals are the operations of a customer for which a finding is made.
type refusals struct {
	name     string
	refused  int64
	all      int64
	byReason map[string]int64
}

// checkCustomers reads the metrics of proxies and returns the findings about customers.
func checkCustomers(ctx context.Context, admins []string, declared *declaration.Declarations) []finding {
	var findings []finding
	counts := make(map[string]map[string]int64)
	answered := 0
	for _, result := range scrape.FetchAll(ctx, admins) {
		if result.Err != nil {
			findings = append(findings, finding{level: levelWarning, check: "metrics " + result.Address, text: result.Err.Error(), fix: "start the proxy with --admin " + result.Address})
			continue
		}
		answered++
		for name, c := range result.Metrics.Customers() {
			if counts[name] == nil {
				counts[name] = make(map[string]int64)
			}
			for outcome, n := range c.Operations {
				counts[name][outcome] += n
			}
		}
	}
	if answered == 0 {
		return findings
	}
	findings = append(findings, checkRefusals(counts)...)
	if answered == len(admins) {
		findings = append(findings, checkUnusedKeys(declared, counts)...)
	}
	return findings
}

// checkRefusals reports the customers of which more than maxRefusedPercent of the
// operations were refused since the proxies started, those with the most first.
func checkRefusals(counts map[string]map[string]int64) []finding {
	var found []refusals
	for name, outcomes := range counts {
		r := refusals{name: name, byReason: make(map[string]int64)}
		for outcome, n := range outcomes {
			r.all += n
			if reason, ok := strings.CutPrefix(outcome, metrics.OutcomeRefusedPrefix); ok {
				r.refused += n
				r.byReason[reason] += n
			}
		}
		if r.all >= minOperations && r.refused*100 > r.all*maxRefusedPercent {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b refusals) int { return cmp.Or(cmp.Compare(b.refused, a.refused), cmp.Compare(a.name, b.name)) })
	var findings []finding
	for _, r := range found[:min(len(found), maxListed)] {
		findings = append(findings, r.finding())
	}
	if left := len(found) - maxListed; left > 0 {
		findings = append(findings, finding{level: levelWarning, check: "customers", text: fmt.Sprintf("%d more customers have many refusals", left), fix: "see \"burdockwood customer usage\""})
	}
	return findings
}

func (r refusals) finding() finding {
	reasons := slices.SortedFunc(maps.Keys(r.byReason), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.byReason[b], r.byReason[a]), cmp.Compare(a, b))
	})
	check := "customer " + r.name
	if r.name == "" {
		check = "unknown keys"
	}
	fixes := map[string]string{
		metrics.OutcomeRefusedLimit: "see \"burdockwood customer usage\"; raise its limit, or ask it to send less",
		metrics.OutcomeRefusedKey:   "give its callers a key that is in force, see \"burdockwood customer show\"",
		metrics.OutcomeRefusedRight: "look at the proxies' connections to control",
	}
	text := fmt.Sprintf("%d of %d operations were refused, most for %s", r.refused, r.all, reasons[0])
	return finding{level: levelWarning, check: check, text: text, fix: fixes[metrics.OutcomeRefusedPrefix+reasons[0]]}
}

// checkUnusedKeys reports the customers with keys of which no proxy has seen an operation.
// If customers are counted together, it can't tell, and reports none.
func checkUnusedKeys(declared *declaration.Declarations, counts map[string]map[string]int64) []finding {
	if len(counts) == 0 || len(counts[metrics.OtherTenant]) > 0 {
		return nil
	}
	var unused []string
	for _, c := range declared.Customers {
		if len(c.Keys) > 0 && len(counts[string(c.Name)]) == 0 {
			unused = append(unused, string(c.Name))
		}
	}
	if len(unused) == 0 {
		return nil
	}
	slices.Sort(unused)
	names := strings.Join(unused[:min(len(unused), maxListed)], ", ")
	if left := len(unused) - maxListed; left > 0 {
		names += fmt.Sprintf(" and %d more", left)
	}
	return []finding{{level: levelWarning, check: "keys", text: "nobody has used the keys of " + names + " since these proxies started", fix: "withdraw keys that nobody needs"}}
}
