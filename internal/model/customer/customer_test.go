package customer_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

func TestNewRefusesContradictions(t *testing.T) {
	key := customer.DigestOf("a-key")
	cases := []struct {
		name      string
		customers []customer.Customer
		want      string // part of the reason
	}{
		{"key in common", []customer.Customer{{Name: "a", Keys: []customer.Digest{key}}, {Name: "b", Keys: []customer.Digest{key}}}, "key in common"},
		{"listed twice", []customer.Customer{{Name: "a"}, {Name: "a"}}, "listed twice"},
		{"no name", []customer.Customer{{}}, "name is empty"},
		{"negative rate", []customer.Customer{{Name: "a", Limit: customer.Limit{Rate: -1}}}, "limit is -1"},
		{"negative weight", []customer.Customer{{Name: "a", Weight: -1}}, "weight is -1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := customer.New(c.customers)
			if !errors.Is(err, customer.ErrInvalid) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("New: got %v, want ErrInvalid with %q", err, c.want)
			}
		})
	}
}

func TestDirectoryFindsCustomersByKeyAndName(t *testing.T) {
	key := customer.DigestOf("a-key")
	d, err := customer.New([]customer.Customer{{Name: "b"}, {Name: "a", Keys: []customer.Digest{key, key}}})
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := d.ByKey(key); !ok || got.Name != "a" {
		t.Errorf("ByKey: got %v, want customer a", got)
	}
	if _, ok := d.ByKey(customer.DigestOf("another")); ok {
		t.Error("ByKey of an unknown key: got a customer, want none")
	}
	if got, ok := d.ByName("b"); !ok || got.Name != "b" {
		t.Errorf("ByName: got %v, want customer b", got)
	}
	if got := (*customer.Directory)(nil).All(); got != nil {
		t.Errorf("All without customers: got %v, want none", got)
	}
	if got, err := customer.ParseDigest(key.String()); err != nil || got != key {
		t.Errorf("ParseDigest of a digest's text: got %v, %v, want the digest", got, err)
	}
}

func BenchmarkByKey(b *testing.B) {
	d, err := customer.New([]customer.Customer{{Name: "a", Keys: []customer.Digest{customer.DigestOf("2rrytapjsujqurtyiikd")}}})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := d.ByKey(customer.DigestOf("2rrytapjsujqurtyiikd")); !ok {
			b.Fatal("the key isn't found")
		}
	}
}
