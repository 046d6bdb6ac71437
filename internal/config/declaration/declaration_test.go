package declaration_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const validDeclarations = `format: burdockwood-1
groups:
  - name: ledger-1
    labels: {tier: payroll, region: west}
    servers: 3
    server-labels:
      - {server: a, labels: {leaving: true}}
  - name: ledger-2
    labels: {tier: payroll}
selectors:
  - name: payments
    priority: 100
    callers: {databases: [ledger-1, ledger-2], users: [payroll], addresses: [10.0.0.0/8]}
    requests: {kinds: [write]}
    groups: {tier: payroll}
    weight: 4
    deadline: 2s
  - name: browse
    priority: 10
    requests: {kinds: [read, aged-read]}
    groups: {tier: payroll}
    tenant: browsing
    max-age: 500ms
`

const validCustomers = `format: burdockwood-1
customers:
  - name: harbour-hotel
    keys: [2rrytapjsujqurtyiikd, "20241204"]
    limit: {rate: 200, burst: 400}
    priority: 1
    weight: 2
  - name: quarry
    key-digests: [AAECAwQFBgcICQoLDA0ODw]
`

func TestParseValidDeclarations(t *testing.T) {
	declarations, problems := declaration.Parse(validDeclarations)
	if len(problems) > 0 {
		t.Fatalf("problems: got %v, want none", problems)
	}
	s := declarations.Selectors[0]
	if got, want := s.Deadline, 2*time.Second; got != want {
		t.Errorf("deadline: got %v, want %v", got, want)
	}
	if got, want := s.Tenant, "payments"; got != want {
		t.Errorf("tenant: got %q, want %q", got, want)
	}
	if got, want := declarations.Groups[0].ServerLabels[0].Labels["leaving"], "true"; got != want {
		t.Errorf("label: got %q, want %q", got, want)
	}
	text, err := declarations.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	again, problems := declaration.Parse(text)
	if len(problems) > 0 {
		t.Fatalf("problems of the marshalled text: got %v, want none", problems)
	}
	textAgain, err := again.Marshal()
	if err != nil || text != textAgain {
		t.Errorf("marshalled again: got %q (%v), want %q", textAgain, err, text)
	}
}

func TestParseReportsProblems(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		want []string
	}{
		{"unknown key", "weight: 4", "weigth: 4", []string{`16: selectors[0].weigth: is not a known key (did you mean "weight"?)`}},
		{"wrong type", "weight: 4", "weight: [4]", []string{`16: selectors[0].weight: has the wrong type: a list (write a text)`}},
		{"value out of range", "weight: 4", "weight: 0", []string{`16: selectors[0].weight: 0 is out of range (write a number from 1 to 1000)`}},
		{"malformed duration", "deadline: 2s", "deadline: 2", []string{`17: selectors[0].deadline: "2" is not a duration (write a number with a unit, such as "2s" or "500ms")`}},
		{"duplicate name", "name: ledger-2", "name: ledger-1", []string{`8: groups[1].name: "ledger-1" is declared already at line 3 (use another name or remove one)`}},
		{"unknown kind", "[write]", "[wriet]", []string{`14: selectors[0].requests.kinds[0]: "wriet" is not a kind of request (did you mean "write"?)`}},
		{"labels match no group", "groups: {tier: payroll}\n    weight", "groups: {tier: pay}\n    weight", []string{`15: selectors[0].groups: no group has the labels {tier=pay} (add the labels to a group or change them here)`}},
		{"unreachable selector", "    priority: 10\n    requests: {kinds: [read, aged-read]}", "    priority: 200", []string{`12: selectors[0].priority: the selector is never reached: "browse" (priority 200) matches all that it matches (raise its priority or narrow the other one)`}},
		{"malformed address", "10.0.0.0/8", "10.0.0/8", []string{`13: selectors[0].callers.addresses[0]: "10.0.0/8" is not an IP network (write "10.1.0.0/16" or one address)`}},
		{"unknown format", "burdockwood-1", "burdockwood-9", []string{`1: format: "burdockwood-9" is not a format of this release (write burdockwood-1)`}},
		{"malformed YAML", "groups:\n  - name", "groups: [\n  - name", []string{`not YAML`}},
		{"several problems reported together", "servers: 3", "servers: 0\n    sevrers: 1", []string{"5: groups[0].servers: 0", `6: groups[0].sevrers: is not a known key (did you mean "servers"?)`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, problems := declaration.Parse(strings.Replace(validDeclarations, test.old, test.new, 1))
			if len(problems) != len(test.want) {
				t.Fatalf("problems: got %v, want %v", problems, test.want)
			}
			for i, want := range test.want {
				if got := problems[i].String(); !strings.Contains(got, want) {
					t.Errorf("problem: got %q, want %q", got, want)
				}
			}
		})
	}
}

func TestParseDirMergesFiles(t *testing.T) {
	folder := fstest.MapFS{
		"groups.yaml":        {Data: []byte("format: burdockwood-1\ngroups: [{name: a, labels: {x: y}}]\n")},
		"teams/reading.yaml": {Data: []byte("format: burdockwood-1\nselectors: [{name: s, groups: {x: y}}]\n")},
		"notes.txt":          {Data: []byte("not: [a declaration")},
	}
	declarations, problems := declaration.ParseDir(folder)
	if len(problems) > 0 || len(declarations.Groups) != 1 || len(declarations.Selectors) != 1 {
		t.Fatalf("got %v %v, want one group, one selector, no problems", declarations, problems)
	}
	folder["more.yaml"] = &fstest.MapFile{Data: []byte("format: burdockwood-1\ngroups:\n  - name: a\n")}
	_, problems = declaration.ParseDir(folder)
	want := `more.yaml:3: groups[0].name: "a" is declared already at groups.yaml:2 (use another name or remove one)`
	if len(problems) != 1 || problems[0].String() != want {
		t.Errorf("got %v, want %q", problems, want)
	}
}

func TestSelect(t *testing.T) {
	declarations, problems := declaration.Parse(validDeclarations)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	inside := netip.MustParseAddr("10.1.2.3")
	tests := []struct {
		name     string
		caller   declaration.Caller
		kind     declaration.Kind
		selector string
		group    cluster.GroupName
	}{
		{"group named like the database", declaration.Caller{Database: "ledger-2", User: "payroll", Address: inside}, declaration.KindWrite, "payments", "ledger-2"},
		{"first group by name", declaration.Caller{Database: "other", User: "crew"}, declaration.KindRead, "browse", "ledger-1"},
		{"wrong address", declaration.Caller{Database: "ledger-2", User: "payroll"}, declaration.KindWrite, "", ""},
		{"wrong user", declaration.Caller{Database: "ledger-2", User: "crew", Address: inside}, declaration.KindWrite, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := declaration.Request{Kind: test.kind}
			match := declarations.Select(test.caller, request)
			explained := declarations.Explain(test.caller, request)
			if match.Found != (test.selector != "") || match.Group != test.group {
				t.Fatalf("got %+v, want selector %q and group %q", match, test.selector, test.group)
			}
			if match.Found && match.Selector.Name != test.selector {
				t.Errorf("selector: got %q, want %q", match.Selector.Name, test.selector)
			}
			if explained.Found != match.Found || explained.Group != match.Group || len(explained.Steps) == 0 {
				t.Errorf("explained: got %+v, want the same as %+v with steps", explained, match)
			}
		})
	}
}

func TestSelectWithoutSelectorsUsesDatabaseName(t *testing.T) {
	declarations, _ := declaration.Parse("format: burdockwood-1\ngroups: [{name: a}]\n")
	if got := declarations.Select(declaration.Caller{Database: "a"}, declaration.Request{}); !got.Found || got.Group != "a" {
		t.Errorf("got %+v, want group a", got)
	}
	if got := declarations.Select(declaration.Caller{Database: "b"}, declaration.Request{}); got.Found {
		t.Errorf("got %+v, want nothing found", got)
	}
}

func TestSelectAllocatesNothing(t *testing.T) {
	for _, groups := range []int{3, 3000} {
		index := manyGroups(groups).Compile()
		caller := declaration.Caller{Database: fmt.Sprintf("db-%d", groups-1), User: "u"}
		got := testing.AllocsPerRun(100, func() { index.Select(caller, declaration.Request{Kind: declaration.KindRead}) })
		if got != 0 {
			t.Errorf("allocations with %d groups: got %v, want 0", groups, got)
		}
	}
}

func BenchmarkSelect(b *testing.B) {
	for _, groups := range []int{3, 300, 25000} {
		index := manyGroups(groups).Compile()
		caller := declaration.Caller{Database: fmt.Sprintf("db-%d", groups-1), User: "u"}
		b.Run(fmt.Sprintf("groups-%d", groups), func(b *testing.B) {
			for b.Loop() {
				index.Select(caller, declaration.Request{Kind: declaration.KindRead})
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{validDeclarations, "", "a: &x [*x]", "format: [", "? [a]\n: b", "groups: [{name: a, <<: {b: c}}]", "---\n---\n", "selectors: [{callers: {addresses: [::ffff:1.2.3.4/96]}}]", "#"} {
		f.Add(seed)
	}
	f.Add(validCustomers)
	f.Add("customers: [{name: a, keys: [secretsecret, *x], limit: {rate: 1.5}}]")
	f.Fuzz(func(t *testing.T, text string) {
		declarations, problems := declaration.Parse(text)
		if len(problems) > 0 {
			return
		}
		marshalled, err := declarations.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if _, problems := declaration.Parse(marshalled); len(problems) > 0 {
			t.Errorf("marshalled declarations: got problems %v, want none, text:\n%s", problems, marshalled)
		}
		if _, err := customer.New(declarations.Customers); err != nil {
			t.Errorf("customers: got %v, want none refused", err)
		}
	})
}

func manyGroups(n int) *declaration.Declarations {
	d := &declaration.Declarations{Format: declaration.Format}
	for i := range n {
		name := fmt.Sprintf("db-%d", i)
		labels := cluster.Labels{"n": name}
		d.Groups = append(d.Groups, declaration.Group{Name: cluster.GroupName(name), Labels: labels, Servers: 3})
		d.Selectors = append(d.Selectors, declaration.Selector{Name: name, Callers: declaration.CallerCondition{Databases: []string{name}}, Groups: labels})
	}
	return d
}

// BenchmarkParse parses and compiles declarations with as many groups as one control
// quorum manages.
func BenchmarkParse(b *testing.B) {
	for _, groups := range []int{300, 3000} {
		text, err := manyGroups(groups).Marshal()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("groups-%d", groups), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, problems := declaration.Parse(text); len(problems) > 0 {
					b.Fatal(problems[0])
				}
			}
			b.ReportMetric(float64(len(text))/float64(groups), "bytes/group")
		})
	}
}
