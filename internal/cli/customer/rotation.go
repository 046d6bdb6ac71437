package customer

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

var (
	errKeyTaken   = eris.New("the new key belongs to another customer")
	errWhichKey   = eris.New("it isn't clear which key to withdraw")
	errUnknownKey = eris.New("the customer has no such key")
)

// rotation is what is left to do of the change of a customer's key.
type rotation struct {
	name customer.Name
	next customer.Digest
	// add is true if the customer doesn't have the new key yet.
	add bool
	// old is the key to withdraw; the zero Digest if there is none left.
	old customer.Digest
}

// planRotation returns what is left to do until a customer has the key next and not the
// old one. oldPrefix begins the digest of the old key; it may be empty if the customer has
// at most one other key. All errors have the code exit.Usage or exit.Failed.
func planRotation(declared *declaration.Declarations, name string, next customer.Digest, oldPrefix string) (rotation, error) {
	c, err := find(declared, name)
	if err != nil {
		return rotation{}, err
	}
	for _, other := range declared.Customers {
		if other.Name != c.Name && slices.Contains(other.Keys, next) {
			return rotation{}, exit.New(exit.Failed, exit.WithDetail(errKeyTaken, "%q", other.Name), "make another key")
		}
	}
	plan := rotation{name: c.Name, next: next, add: !slices.Contains(c.Keys, next)}
	var candidates []customer.Digest
	for _, key := range c.Keys {
		if key != next && strings.HasPrefix(key.String(), oldPrefix) {
			candidates = append(candidates, key)
		}
	}
	switch {
	case len(candidates) > 1:
		return rotation{}, exit.New(exit.Usage, exit.WithDetail(errWhichKey, "%s", shortDigests(candidates)), "name one with --old")
	case len(candidates) == 1:
		plan.old = candidates[0]
	case oldPrefix != "" && plan.add:
		return rotation{}, exit.New(exit.Usage, exit.WithDetail(errUnknownKey, "%q", oldPrefix), "see \"burdockwood customer show "+name+"\"")
	}
	return plan, nil
}

// withKeyAdded and withOldWithdrawn return the declarations after a step; the given ones
// stay as they are.
func (r rotation) withKeyAdded(declared *declaration.Declarations) *declaration.Declarations {
	return r.edit(declared, func(keys []customer.Digest) []customer.Digest { return append(keys, r.next) })
}

func (r rotation) withOldWithdrawn(declared *declaration.Declarations) *declaration.Declarations {
	return r.edit(declared, func(keys []customer.Digest) []customer.Digest {
		return slices.DeleteFunc(keys, func(key customer.Digest) bool { return key == r.old })
	})
}

func (r rotation) edit(declared *declaration.Declarations, change func([]customer.Digest) []customer.Digest) *declaration.Declarations {
	next := *declared
	next.Customers = slices.Clone(declared.Customers)
	for i := range next.Customers {
		if c := &next.Customers[i]; c.Name == r.name {
			c.Keys = change(slices.Clone(c.Keys))
		}
	}
	return &next
}
