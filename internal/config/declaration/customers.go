package declaration

import (
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	fieldKeys       = "keys"
	fieldKeyDigests = "key-digests"

	maxRate     = 10_000_000
	minKeyBytes = 8
	maxKeyBytes = 512
	// shortDigestLetters is the number of letters of a digest that name it to an
	// operator.
	shortDigestLetters = 8

	keyRule = "write a random text of 8 to 512 printable characters without spaces"
)

type (
	// Customers are the customers of one version. In YAML they hold the digests of
	// their keys.
	Customers []customer.Customer

	// customerYAML is the YAML form of a customer. It is short, since there may be
	// thousands.
	customerYAML struct {
		Name       customer.Name `yaml:"name"`
		KeyDigests []string      `yaml:"key-digests,omitempty,flow"`
		Limit      *limitYAML    `yaml:"limit,omitempty,flow"`
		Priority   int           `yaml:"priority,omitempty"`
		Weight     int           `yaml:"weight,omitempty"`
	}

	limitYAML struct {
		Rate  int `yaml:"rate"`
		Burst int `yaml:"burst"`
	}

	// keyPosition is where a key stands in the files.
	keyPosition struct {
		digest customer.Digest
		// holder is the index of its customer.
		holder int
		file   string
		line   int
		path   string
	}
)

// MarshalYAML returns the YAML form of the customers.
func (c Customers) MarshalYAML() (any, error) {
	list := make([]customerYAML, 0, len(c))
	for _, one := range c {
		list = append(list, newCustomerYAML(one))
	}
	return list, nil
}

// HasPlainKeys reports whether the parsed text held keys, not only their digests. What
// is stored, replicated or shown must not.
func (d *Declarations) HasPlainKeys() bool { return d.hasPlainKeys }

// Customer returns the declared customer with the name and whether it exists.
func (d *Declarations) Customer(name customer.Name) (customer.Customer, bool) {
	for _, c := range d.Customers {
		if c.Name == name {
			return c, true
		}
	}
	return customer.Customer{}, false
}

// ShortDigest returns the beginning of a digest's text, which is enough to tell the keys
// of a customer apart.
func ShortDigest(digest customer.Digest) string { return digest.String()[:shortDigestLetters] }

func newCustomerYAML(c customer.Customer) customerYAML {
	y := customerYAML{Name: c.Name, Priority: c.Priority}
	if c.Weight != defaultWeight {
		y.Weight = c.Weight
	}
	for _, key := range c.Keys {
		y.KeyDigests = append(y.KeyDigests, key.String())
	}
	if c.IsLimited() {
		y.Limit = &limitYAML{Rate: c.Limit.Rate, Burst: c.Limit.Burst}
	}
	return y
}

func (p *parser) parseCustomers(path string, node *yaml.Node) {
	p.hidesValues = true
	p.decodeSequence(path, node, p.parseCustomer)
	p.hidesValues = false
}

func (p *parser) parseCustomer(path string, node *yaml.Node) {
	c := customer.Customer{Weight: defaultWeight}
	index := len(p.declarations.Customers)
	addKeys := func(field string, decode func(path string, node *yaml.Node) (customer.Digest, bool)) mappingKey {
		return mappingKey{field, func(path string, n *yaml.Node) {
			p.decodeSecretSequence(path, n, func(path string, element *yaml.Node) {
				digest, ok := decode(path, element)
				if !ok || slices.Contains(c.Keys, digest) {
					return
				}
				c.Keys = append(c.Keys, digest)
				p.keyPositions = append(p.keyPositions, keyPosition{digest: digest, holder: index, file: p.file, line: element.Line, path: path})
			})
		}}
	}
	found := p.decodeMapping(path, node, []mappingKey{
		{"name", func(path string, n *yaml.Node) { c.Name = customer.Name(p.decodeName(path, n)) }},
		addKeys(fieldKeys, p.decodeKey),
		addKeys(fieldKeyDigests, p.decodeDigest),
		{"limit", func(path string, n *yaml.Node) { c.Limit = p.parseLimit(path, n) }},
		{"priority", func(path string, n *yaml.Node) { c.Priority, _ = p.decodeInt(path, n, 0, maxPriority) }},
		{"weight", func(path string, n *yaml.Node) { c.Weight, _ = p.decodeInt(path, n, 1, maxWeight) }},
	})
	if node.Kind != yaml.MappingNode {
		return
	}
	p.declarations.Customers = append(p.declarations.Customers, c)
	p.customerPositions = append(p.customerPositions, position{file: p.file, path: path, lines: found})
}

func (p *parser) parseLimit(path string, node *yaml.Node) customer.Limit {
	var l customer.Limit
	found := p.decodeMapping(path, node, []mappingKey{
		{"rate", func(path string, n *yaml.Node) { l.Rate, _ = p.decodeInt(path, n, 1, maxRate) }},
		{"burst", func(path string, n *yaml.Node) { l.Burst, _ = p.decodeInt(path, n, 1, maxRate) }},
	})
	for _, field := range []string{"rate", "burst"} {
		if _, ok := found[field]; !ok && node.Kind == yaml.MappingNode {
			p.addProblem(node, joinPath(path, field), "is missing", fmt.Sprintf("write a number from 1 to %d, or remove the limit", maxRate))
		}
	}
	return l
}

// decodeKey returns the digest of a key. Its problems don't contain the key.
func (p *parser) decodeKey(path string, node *yaml.Node) (customer.Digest, bool) {
	p.declarations.hasPlainKeys = true
	switch {
	case node.Kind != yaml.ScalarNode || isNull(node):
		p.addProblem(node, path, "is not a text", keyRule)
	case node.Value == "":
		p.addProblem(node, path, "is empty", keyRule)
	case !IsKey(node.Value):
		p.addProblem(node, path, fmt.Sprintf("is not a key: %d bytes", len(node.Value)), keyRule)
	default:
		return customer.DigestOf(node.Value), true
	}
	return customer.Digest{}, false
}

// decodeDigest decodes the digest of a key. Its problems don't contain the text, which
// may be a key in the wrong place.
func (p *parser) decodeDigest(path string, node *yaml.Node) (customer.Digest, bool) {
	if node.Kind == yaml.ScalarNode {
		if digest, err := customer.ParseDigest(node.Value); err == nil && !digest.IsZero() && digest.String() == node.Value {
			return digest, true
		}
	}
	p.addProblem(node, path, "is not the digest of a key", "write a digest as \"burdockwood customer digest\" prints it, or the key itself under \"keys\"")
	return customer.Digest{}, false
}

// decodeSecretSequence does the same as decodeSequence, and its problem doesn't contain
// the value.
func (d *decoder) decodeSecretSequence(path string, node *yaml.Node, decode func(path string, element *yaml.Node)) {
	if node.Kind != yaml.SequenceNode {
		d.addProblem(node, path, "is not a list", "write a list, such as [KEY]")
		return
	}
	d.decodeSequence(path, node, decode)
}

// IsKey reports whether a text can be a key: callers send it as one word.
func IsKey(text string) bool {
	if len(text) < minKeyBytes || len(text) > maxKeyBytes {
		return false
	}
	for _, b := range []byte(text) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

func (p *parser) checkCustomers() {
	seen := make(map[customer.Name]position)
	for i, c := range p.declarations.Customers {
		pos := p.customerPositions[i]
		if c.Name == "" {
			p.addMissingName(pos)
			continue
		}
		if first, twice := seen[c.Name]; twice {
			p.addDuplicateName(pos, string(c.Name), first)
			continue
		}
		seen[c.Name] = pos
	}
	p.checkKeys()
}

// checkKeys finds keys that two customers have in common.
func (p *parser) checkKeys() {
	holders := make(map[customer.Digest]customer.Name, len(p.keyPositions))
	for _, k := range p.keyPositions {
		holder := p.declarations.Customers[k.holder].Name
		first, taken := holders[k.digest]
		if !taken {
			holders[k.digest] = holder
			continue
		}
		if first == holder {
			continue // the customer is declared twice, which is a problem of its own
		}
		text := fmt.Sprintf("customers %q and %q have a key in common", first, holder)
		p.problems = append(p.problems, Problem{File: k.file, Line: k.line, Field: k.path, Text: text, Fix: "give each customer keys of its own"})
	}
}

// customerLines returns the difference of a customer, with a line for each key that was
// added or removed in place of the digests.
func customerLines(before, after *customer.Customer) []string {
	return append(diffLines(textWithoutKeys(before), textWithoutKeys(after)), keyLinesOf(before, after)...)
}

func textWithoutKeys(c *customer.Customer) string {
	if c == nil {
		return ""
	}
	y := newCustomerYAML(*c)
	y.KeyDigests = nil
	return yamlText(y)
}

func keyLinesOf(before, after *customer.Customer) []string {
	var old, next []customer.Digest
	if before != nil {
		old = before.Keys
	}
	if after != nil {
		next = after.Keys
	}
	var lines []string
	for _, key := range old {
		if !slices.Contains(next, key) {
			lines = append(lines, "-key removed: "+ShortDigest(key))
		}
	}
	for _, key := range next {
		if !slices.Contains(old, key) {
			lines = append(lines, "+key added: "+ShortDigest(key))
		}
	}
	return lines
}
