package declaration_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

func TestParseCustomers(t *testing.T) {
	declarations, problems := declaration.Parse(validCustomers)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	got, ok := declarations.Customer("harbour-hotel")
	if !ok || got.Limit != (customer.Limit{Rate: 200, Burst: 400}) || got.Priority != 1 || got.Weight != 2 {
		t.Errorf("customer: got %+v, want that of the text", got)
	}
	if want := []customer.Digest{customer.DigestOf("2rrytapjsujqurtyiikd"), customer.DigestOf("20241204")}; !slices.Equal(got.Keys, want) {
		t.Errorf("keys: got %v, want %v", got.Keys, want)
	}
	text, err := declarations.Marshal()
	if err != nil || strings.Contains(text, "2rryta") || !declarations.HasPlainKeys() {
		t.Errorf("marshalled: got %q (%v), want digests only", text, err)
	}
	again, problems := declaration.Parse(text)
	if len(problems) > 0 || again.HasPlainKeys() || len(declarations.Diff(again)) > 0 {
		t.Errorf("parsed again: got %v %v, want the same without plain keys", again, problems)
	}
}

func TestParseReportsProblemsOfCustomers(t *testing.T) {
	const secret = "2rrytapjsujqurtyiikd"
	tests := []struct {
		name, old, new, want string
	}{
		{"key in common", "[AAECAwQFBgcICQoLDA0ODw]", "[" + customer.DigestOf(secret).String() + "]", `9: customers[1].key-digests[0]: customers "harbour-hotel" and "quarry" have a key in common`},
		{"declared twice", "quarry", "harbour-hotel", `8: customers[1].name: "harbour-hotel" is declared already at line 3`},
		{"no name", "name: quarry", "weight: 1", `8: customers[1].name: is missing`},
		{"empty key", `"20241204"`, `""`, `4: customers[0].keys[1]: is empty`},
		{"key with a space", secret, `"2rrytapj sujqurtyiikd"`, `4: customers[0].keys[0]: is not a key: 21 bytes`},
		{"keys not in a list", "[" + secret + `, "20241204"]`, secret, `4: customers[0].keys: is not a list`},
		{"key as a mapping", secret, "{" + secret + ": 1}", `4: customers[0].keys[0]: is not a text`},
		{"key in place of a customer", "- name: quarry\n    key-digests: [AAECAwQFBgcICQoLDA0ODw]", "- " + secret, `8: customers[1]: has the wrong type: a single value`},
		{"key as a digest", "AAECAwQFBgcICQoLDA0ODw", secret, `9: customers[1].key-digests[0]: is not the digest of a key`},
		{"key that looks like an alias", secret, "*" + secret, `not YAML: unknown anchor referenced`},
		{"negative rate", "rate: 200", "rate: -1", `5: customers[0].limit.rate: -1 is out of range`},
		{"fractional rate", "rate: 200", "rate: 2.5", `5: customers[0].limit.rate: "2.5" is not a whole number`},
		{"no burst", ", burst: 400", "", `5: customers[0].limit.burst: is missing`},
		{"unknown field", "weight: 2", "weigth: 2", `7: customers[0].weigth: is not a known key (did you mean "weight"?)`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, problems := declaration.Parse(strings.Replace(validCustomers, test.old, test.new, 1))
			if len(problems) != 1 {
				t.Fatalf("problems: got %v, want one", problems)
			}
			got := problems[0].String()
			if !strings.Contains(got, test.want) {
				t.Errorf("problem: got %q, want %q", got, test.want)
			}
			if strings.Contains(got, "2rryta") {
				t.Errorf("problem: got %q, want it without the key", got)
			}
		})
	}
}

func TestDiffOfCustomersNamesKeysByShortDigests(t *testing.T) {
	const next = `format: burdockwood-1
customers:
  - name: harbour-hotel
    keys: ["20241204", another-key]
    limit: {rate: 100, burst: 400}
    priority: 1
    weight: 2
`
	before, _ := declaration.Parse(validCustomers)
	after, problems := declaration.Parse(next)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	var got []string
	for _, d := range before.Diff(after) {
		got = append(got, fmt.Sprintf("%s %s %s", d.Item, d.Name, d.Action))
		got = append(got, d.Lines...)
	}
	short := func(key string) string { return declaration.ShortDigest(customer.DigestOf(key)) }
	want := []string{
		"customer harbour-hotel changed", " name: harbour-hotel", "-limit: {rate: 200, burst: 400}", "+limit: {rate: 100, burst: 400}", " priority: 1", " weight: 2",
		"-key removed: " + short("2rrytapjsujqurtyiikd"), "+key added: " + short("another-key"),
		"customer quarry removed", "-name: quarry", "-key removed: AAECAwQF",
	}
	if !slices.Equal(got, want) {
		t.Errorf("difference: got %q, want %q", got, want)
	}
}
