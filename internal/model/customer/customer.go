// Package customer holds the customers of a configuration: their names, the digests of
// their keys, their limits and their weights. It does no input or output.
//
// # Usage
//
//	directory, err := customer.New(customers)
//	c, ok := directory.ByKey(customer.DigestOf(key))
//	c, ok = directory.ByName("harbour-hotel")
//
// A caller proves with a key which customer it belongs to. Only control stores keys;
// proxies hold digests, so that neither a log nor a memory dump of a proxy contains a
// key. A nil Directory stands for a configuration without customers: every caller is
// served, and no key is looked up.
package customer

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// digestBytes is the length of a digest. Keys are random texts, so that a longer one
	// wouldn't be harder to find.
	digestBytes = 16
	// logLength is the number of characters of a digest's text in logs.
	logLength = 8
)

var (
	// ErrInvalid is returned for customers that contradict each other or have an
	// invalid field, with the name of the customer and the field.
	ErrInvalid = eris.New("the customers aren't valid")
	// ErrInvalidDigest is returned for a text that isn't a digest.
	ErrInvalidDigest = eris.New("the text isn't the digest of a key")
)

type (
	// Name identifies a customer. Backend servers are told it.
	Name string

	// Digest identifies a key. The zero Digest stands for no key.
	Digest [digestBytes]byte

	// Limit bounds the operations of a customer over all proxies. An operation is a
	// single statement or a transaction.
	Limit struct {
		// Rate is the number of operations a second; zero: no limit.
		Rate int
		// Burst is the number of operations that may come at once.
		Burst int
	}

	// Customer is one customer.
	Customer struct {
		Name  Name
		Keys  []Digest
		Limit Limit
		// Priority takes precedence over Weight; 0 is the highest.
		Priority int
		// Weight is the customer's share of an overloaded server, relative to the
		// other customers; zero counts as one.
		Weight int
	}

	// Directory holds the customers of one configuration. It is immutable.
	Directory struct {
		customers []Customer
		byKey     map[Digest]*Customer
		byName    map[Name]*Customer
	}
)

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:digestBytes])
}

// ParseDigest returns the digest with the given text. Errors: ErrInvalidDigest.
func ParseDigest(text string) (Digest, error) {
	decoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(decoded) != digestBytes {
		return Digest{}, eris.Wrapf(ErrInvalidDigest, "%d characters", len(text))
	}
	return Digest(decoded), nil
}

// String returns the digest's text.
func (d Digest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// ForLog returns the beginning of the digest's text, for logs; empty: no key.
func (d Digest) ForLog() string {
	if d.IsZero() {
		return ""
	}
	return d.String()[:logLength]
}

// IsZero reports whether the digest stands for no key.
func (d Digest) IsZero() bool { return d == Digest{} }

// New returns the directory of the customers. Errors: ErrInvalid.
func New(customers []Customer) (*Directory, error) {
	d := &Directory{
		customers: slices.Clone(customers),
		byKey:     make(map[Digest]*Customer, len(customers)), byName: make(map[Name]*Customer, len(customers)),
	}
	slices.SortFunc(d.customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	for i := range d.customers {
		if err := d.add(&d.customers[i]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// add checks a customer and enters it into the maps.
func (d *Directory) add(c *Customer) error {
	_, duplicate := d.byName[c.Name]
	switch {
	case c.Name == "":
		return eris.Wrap(ErrInvalid, "a customer's name is empty")
	case duplicate:
		return eris.Wrapf(ErrInvalid, "customer %q is listed twice", c.Name)
	case c.Limit.Rate < 0 || c.Limit.Burst < 0:
		return eris.Wrapf(ErrInvalid, "customer %q: the limit is %d a second and bursts of %d, want 0 or more", c.Name, c.Limit.Rate, c.Limit.Burst)
	case c.Weight < 0:
		return eris.Wrapf(ErrInvalid, "customer %q: the weight is %d, want 0 or more", c.Name, c.Weight)
	}
	d.byName[c.Name] = c
	for _, key := range c.Keys {
		if other, taken := d.byKey[key]; taken && other != c {
			return eris.Wrapf(ErrInvalid, "customers %q and %q have a key in common", other.Name, c.Name)
		}
		d.byKey[key] = c
	}
	return nil
}

// ByKey returns the customer that holds a key, and false if none does.
func (d *Directory) ByKey(key Digest) (*Customer, bool) {
	c, ok := d.byKey[key]
	return c, ok
}

// ByName returns a customer, and false if there is none of the name.
func (d *Directory) ByName(name Name) (*Customer, bool) {
	c, ok := d.byName[name]
	return c, ok
}

// All returns the customers by name. The slice must not be changed.
func (d *Directory) All() []Customer {
	if d == nil {
		return nil
	}
	return d.customers
}

// IsLimited reports whether the customer has a limit.
func (c *Customer) IsLimited() bool { return c.Limit.Rate > 0 || c.Limit.Burst > 0 }
