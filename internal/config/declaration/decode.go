package declaration

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/burdockwood/burdockwood/internal/config/suggest"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// decoder decodes YAML nodes and collects problems. The argument path of its
	// methods is the path of the field, such as "groups[0].labels".
	decoder struct {
		file     string
		problems []Problem
		// hidesValues is true where a value in the wrong place may be a key.
		hidesValues bool
	}

	// mappingKey is a known key of a mapping and the function that decodes its
	// value.
	mappingKey struct {
		name   string
		decode func(path string, value *yaml.Node)
	}

	// keyLines maps the keys of one mapping to their line numbers; the empty key
	// maps to the line of the mapping itself.
	keyLines map[string]int
)

func (d *decoder) addProblem(node *yaml.Node, path, text, fix string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: node.Line, Field: path, Text: text, Fix: fix})
}

// decodeMapping decodes the known keys of a mapping and returns their lines. A key
// without a value counts as missing.
func (d *decoder) decodeMapping(path string, node *yaml.Node, keys []mappingKey) keyLines {
	found := keyLines{"": node.Line}
	if !d.checkKind(path, node, yaml.MappingNode, "a mapping of keys to values") {
		return found
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		if _, twice := found[name.Value]; twice && name.Value != "" {
			d.addProblem(name, joinPath(path, name.Value), "is given twice", "remove one")
			continue
		}
		k, ok := findKey(keys, name.Value)
		if !ok {
			d.addUnknownKey(path, name, keys)
			continue
		}
		if isNull(value) {
			continue
		}
		found[name.Value] = name.Line
		k.decode(joinPath(path, name.Value), value)
	}
	return found
}

func (d *decoder) addUnknownKey(path string, name *yaml.Node, keys []mappingKey) {
	known := make([]string, 0, len(keys))
	for _, k := range keys {
		known = append(known, k.name)
	}
	fix := "known keys: " + strings.Join(known, ", ")
	if near, ok := suggest.Closest(name.Value, known); ok {
		fix = fmt.Sprintf("did you mean %q?", near)
	}
	d.addProblem(name, joinPath(path, name.Value), "is not a known key", fix)
}

// decodeSequence calls decode for each element of a list.
func (d *decoder) decodeSequence(path string, node *yaml.Node, decode func(path string, element *yaml.Node)) {
	if !d.checkKind(path, node, yaml.SequenceNode, "a list") {
		return
	}
	for i, element := range node.Content {
		decode(fmt.Sprintf("%s[%d]", path, i), element)
	}
}

func (d *decoder) decodeString(path string, node *yaml.Node) (string, bool) {
	if !d.checkKind(path, node, yaml.ScalarNode, "a text") {
		return "", false
	}
	return node.Value, true
}

func (d *decoder) decodeStrings(path string, node *yaml.Node) []string {
	var list []string
	d.decodeSequence(path, node, func(path string, element *yaml.Node) {
		if text, ok := d.decodeString(path, element); ok {
			list = append(list, text)
		}
	})
	return list
}

// decodeInt decodes an integer between minValue and maxValue, both included.
func (d *decoder) decodeInt(path string, node *yaml.Node, minValue, maxValue int) (int, bool) {
	text, ok := d.decodeString(path, node)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	if err != nil || node.Tag == "!!str" {
		d.addProblem(node, path, fmt.Sprintf("%q is not a whole number", text), fmt.Sprintf("write a number from %d to %d", minValue, maxValue))
		return 0, false
	}
	if n < minValue || n > maxValue {
		d.addProblem(node, path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("write a number from %d to %d", minValue, maxValue))
		return 0, false
	}
	return n, true
}

// decodeDuration decodes a duration such as "2s" between minValue and maxValue,
// both included.
func (d *decoder) decodeDuration(path string, node *yaml.Node, minValue, maxValue time.Duration) (time.Duration, bool) {
	text, ok := d.decodeString(path, node)
	if !ok {
		return 0, false
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.addProblem(node, path, fmt.Sprintf("%q is not a duration", text), `write a number with a unit, such as "2s" or "500ms"`)
		return 0, false
	}
	if value < minValue || value > maxValue {
		d.addProblem(node, path, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a duration from %v to %v", minValue, maxValue))
		return 0, false
	}
	return value, true
}

func (d *decoder) decodePrefixes(path string, node *yaml.Node) []netip.Prefix {
	var list []netip.Prefix
	d.decodeSequence(path, node, func(path string, element *yaml.Node) {
		text, ok := d.decodeString(path, element)
		if !ok {
			return
		}
		if prefix, ok := parsePrefix(text); ok {
			list = append(list, prefix)
			return
		}
		d.addProblem(element, path, fmt.Sprintf("%q is not an IP network", text), `write "10.1.0.0/16" or one address`)
	})
	return list
}

func (d *decoder) decodeLabels(path string, node *yaml.Node) cluster.Labels {
	labels := cluster.Labels{}
	if !d.checkKind(path, node, yaml.MappingNode, "a mapping of labels to values") {
		return labels
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		labelPath := joinPath(path, name.Value)
		text, ok := d.decodeString(labelPath, value)
		if !ok {
			continue
		}
		d.checkLabel(labelPath, name, text)
		if _, twice := labels[name.Value]; twice {
			d.addProblem(name, labelPath, "is given twice", "remove one")
		}
		labels[name.Value] = text
	}
	return labels
}

// checkKind reports whether the node has the kind and, for a scalar, isn't null. If
// not, it adds a problem; want describes the value that is expected.
func (d *decoder) checkKind(path string, node *yaml.Node, kind yaml.Kind, want string) bool {
	if node.Kind == kind && !(kind == yaml.ScalarNode && isNull(node)) {
		return true
	}
	if node.Kind == yaml.AliasNode {
		d.addProblem(node, path, "is an alias", "write the value out")
		return false
	}
	description := describeNode(node)
	if d.hidesValues && node.Kind == yaml.ScalarNode {
		description = "a single value"
	}
	d.addProblem(node, path, "has the wrong type: "+description, "write "+want)
	return false
}

// parsePrefix parses an IP network or a single address.
func parsePrefix(text string) (netip.Prefix, bool) {
	if prefix, err := netip.ParsePrefix(text); err == nil {
		return prefix.Masked(), true
	}
	address, err := netip.ParseAddr(text)
	if err != nil || address.Zone() != "" {
		return netip.Prefix{}, false
	}
	address = address.Unmap()
	return netip.PrefixFrom(address, address.BitLen()), true
}

func describeNode(node *yaml.Node) string {
	switch {
	case node.Kind == yaml.MappingNode:
		return "a mapping"
	case node.Kind == yaml.SequenceNode:
		return "a list"
	case isNull(node):
		return "nothing"
	default:
		return fmt.Sprintf("the single value %q", node.Value)
	}
}

func isNull(node *yaml.Node) bool { return node.Kind == yaml.ScalarNode && node.Tag == "!!null" }

func findKey(keys []mappingKey, name string) (mappingKey, bool) {
	for _, k := range keys {
		if k.name == name {
			return k, true
		}
	}
	return mappingKey{}, false
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
