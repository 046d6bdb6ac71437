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
	// decoder reads YAML nodes and collects faults.
	decoder struct {
		file   string
		faults []Problem
	}

	// key is a known key of a mapping and the reader of its value.
	key struct {
		name string
		read func(path string, value *yaml.Node)
	}

	// lines maps the keys of one mapping to their lines.
	lines map[string]int
)

func (d *decoder) fault(node *yaml.Node, path, text, fix string) {
	d.faults = append(d.faults, Problem{File: d.file, Line: node.Line, Field: path, Text: text, Fix: fix})
}

// mapping reads a mapping with the known keys and returns their lines; keys
// without a value count as missing. The empty key of the result is the line of the mapping itself.
func (d *decoder) mapping(path string, node *yaml.Node, keys []key) lines {
	found := lines{"": node.Line}
	if !d.isKind(path, node, yaml.MappingNode, "a mapping of keys to values") {
		return found
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		if _, twice := found[name.Value]; twice && name.Value != "" {
			d.fault(name, join(path, name.Value), "is given twice", "remove one")
			continue
		}
		k, ok := findKey(keys, name.Value)
		if !ok {
			d.unknownKey(path, name, keys)
			continue
		}
		if isNull(value) {
			continue
		}
		found[name.Value] = name.Line
		k.read(join(path, name.Value), value)
	}
	return found
}

func (d *decoder) unknownKey(path string, name *yaml.Node, keys []key) {
	known := make([]string, 0, len(keys))
	for _, k := range keys {
		known = append(known, k.name)
	}
	fix := "known keys: " + strings.Join(known, ", ")
	if near, ok := suggest.Closest(name.Value, known); ok {
		fix = fmt.Sprintf("did you mean %q?", near)
	}
	d.fault(name, join(path, name.Value), "is not a known key", fix)
}

// sequence calls read with each element of a list.
func (d *decoder) sequence(path string, node *yaml.Node, read func(path string, element *yaml.Node)) {
	if !d.isKind(path, node, yaml.SequenceNode, "a list") {
		return
	}
	for i, element := range node.Content {
		read(fmt.Sprintf("%s[%d]", path, i), element)
	}
}

func (d *decoder) text(path string, node *yaml.Node) (string, bool) {
	if !d.isKind(path, node, yaml.ScalarNode, "a text") {
		return "", false
	}
	return node.Value, true
}

func (d *decoder) texts(path string, node *yaml.Node) []string {
	var list []string
	d.sequence(path, node, func(path string, element *yaml.Node) {
		if text, ok := d.text(path, element); ok {
			list = append(list, text)
		}
	})
	return list
}

// number reads a whole number between least and most.
func (d *decoder) number(path string, node *yaml.Node, least, most int) (int, bool) {
	text, ok := d.text(path, node)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	if err != nil || node.Tag == "!!str" {
		d.fault(node, path, fmt.Sprintf("%q is not a whole number", text), fmt.Sprintf("write a number from %d to %d", least, most))
		return 0, false
	}
	if n < least || n > most {
		d.fault(node, path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("write a number from %d to %d", least, most))
		return 0, false
	}
	return n, true
}

// duration reads a duration between least and most, such as "2s".
func (d *decoder) duration(path string, node *yaml.Node, least, most time.Duration) (time.Duration, bool) {
	text, ok := d.text(path, node)
	if !ok {
		return 0, false
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.fault(node, path, fmt.Sprintf("%q is not a duration", text), `write a number with a unit, such as "2s" or "500ms"`)
		return 0, false
	}
	if value < least || value > most {
		d.fault(node, path, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a duration from %v to %v", least, most))
		return 0, false
	}
	return value, true
}

func (d *decoder) prefixes(path string, node *yaml.Node) []netip.Prefix {
	var list []netip.Prefix
	d.sequence(path, node, func(path string, element *yaml.Node) {
		text, ok := d.text(path, element)
		if !ok {
			return
		}
		if prefix, ok := parsePrefix(text); ok {
			list = append(list, prefix)
			return
		}
		d.fault(element, path, fmt.Sprintf("%q is not an IP network", text), `write "10.1.0.0/16" or one address`)
	})
	return list
}

func (d *decoder) labels(path string, node *yaml.Node) cluster.Labels {
	labels := cluster.Labels{}
	if !d.isKind(path, node, yaml.MappingNode, "a mapping of labels to values") {
		return labels
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		at := join(path, name.Value)
		text, ok := d.text(at, value)
		if !ok {
			continue
		}
		d.checkLabel(at, name, text)
		if _, twice := labels[name.Value]; twice {
			d.fault(name, at, "is given twice", "remove one")
		}
		labels[name.Value] = text
	}
	return labels
}

// isKind reports whether the node has the kind; else it notes a fault.
func (d *decoder) isKind(path string, node *yaml.Node, kind yaml.Kind, want string) bool {
	if node.Kind == kind && !(kind == yaml.ScalarNode && isNull(node)) {
		return true
	}
	if node.Kind == yaml.AliasNode {
		d.fault(node, path, "is an alias", "write the value out")
		return false
	}
	d.fault(node, path, "has the wrong type: "+kindName(node), "write "+want)
	return false
}

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

func kindName(node *yaml.Node) string {
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

func findKey(keys []key, name string) (key, bool) {
	for _, k := range keys {
		if k.name == name {
			return k, true
		}
	}
	return key{}, false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
