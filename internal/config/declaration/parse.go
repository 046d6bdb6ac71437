package declaration

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/burdockwood/burdockwood/internal/config/suggest"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// MaxBytes bounds the text of all declarations together.
	MaxBytes = 4 << 20

	defaultServers = 3
	maxServers     = 31
	defaultWeight  = 1
	maxWeight      = 1000
	maxPriority    = 1_000_000
	maxDeadline    = time.Hour
	minDeadline    = time.Millisecond
	maxAge         = 24 * time.Hour
	maxLabelValue  = 63
)

var (
	nameForm   = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)
	yamlErrors = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)
)

type (
	// parser reads one or more files into one set of declarations.
	parser struct {
		decoder
		declared    Declarations
		groupAt     []place
		selectorAt  []place
		totalLength int
	}

	// place is where a group or selector is written.
	place struct {
		file  string
		path  string
		lines lines
	}
)

// Parse reads one YAML document. The declarations are usable only if there
// are no faults.
func Parse(text string) (*Declarations, []Problem) {
	var p parser
	p.document([]byte(text))
	return p.finish()
}

// ParseDir reads all files of a folder and its subfolders whose names end in
// .yaml or .yml, and merges them into one set of declarations.
func ParseDir(folder fs.FS) (*Declarations, []Problem) {
	var p parser
	files := 0
	err := fs.WalkDir(folder, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !isDeclarationFile(name) {
			return nil
		}
		files++
		text, err := fs.ReadFile(folder, name)
		if err != nil {
			return err
		}
		p.file = name
		p.document(text)
		return nil
	})
	p.file = ""
	if err != nil {
		p.faults = append(p.faults, Problem{Text: "can't read: " + err.Error(), Fix: "check the folder's name and permissions"})
	}
	if err == nil && files == 0 {
		p.faults = append(p.faults, Problem{Text: "the folder holds no .yaml file", Fix: "check the folder's name"})
	}
	return p.finish()
}

// Marshal returns the declarations as one YAML document that Parse reads.
func (d *Declarations) Marshal() (string, error) {
	var b bytes.Buffer
	encoder := yaml.NewEncoder(&b)
	encoder.SetIndent(2)
	if err := encoder.Encode(d); err != nil {
		return "", err
	}
	return b.String(), encoder.Close()
}

func isDeclarationFile(name string) bool {
	extension := path.Ext(name)
	return (extension == ".yaml" || extension == ".yml") && !strings.HasPrefix(path.Base(name), ".")
}

func (p *parser) finish() (*Declarations, []Problem) {
	p.check()
	sortFaults(p.faults)
	if len(p.faults) == 0 {
		p.declared.index = p.declared.Compile()
	}
	return &p.declared, p.faults
}

func (p *parser) document(text []byte) {
	p.totalLength += len(text)
	if p.totalLength > MaxBytes {
		p.faults = append(p.faults, Problem{File: p.file, Text: fmt.Sprintf("the declarations are longer than %d bytes", MaxBytes), Fix: "declare fewer groups"})
		return
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var root yaml.Node
	err := decoder.Decode(&root)
	if errors.Is(err, io.EOF) {
		p.faults = append(p.faults, Problem{File: p.file, Line: 1, Field: "format", Text: "the document is empty", Fix: "write format: " + Format})
		return
	}
	if err != nil {
		p.syntaxFault(err)
		return
	}
	p.root(root.Content[0])
	var second yaml.Node
	if err := decoder.Decode(&second); err == nil {
		p.fault(&second, "", "a second document follows", "write it into a file of its own")
	} else if !errors.Is(err, io.EOF) {
		p.syntaxFault(err)
	}
}

func (p *parser) syntaxFault(err error) {
	f := Problem{File: p.file, Text: err.Error(), Fix: "mend the YAML syntax"}
	if parts := yamlErrors.FindStringSubmatch(err.Error()); parts != nil {
		f.Line, _ = strconv.Atoi(parts[1])
		f.Text = "not YAML: " + parts[2]
	}
	p.faults = append(p.faults, f)
}

func (p *parser) root(node *yaml.Node) {
	format := ""
	found := p.mapping("", node, []key{
		{"format", func(path string, n *yaml.Node) { format = p.format(path, n) }},
		{"groups", func(path string, n *yaml.Node) { p.sequence(path, n, p.group) }},
		{"selectors", func(path string, n *yaml.Node) { p.sequence(path, n, p.selector) }},
	})
	if _, ok := found["format"]; !ok && node.Kind == yaml.MappingNode {
		p.fault(node, "format", "is missing", "write format: "+Format)
	}
	p.declared.Format = format
}

func (p *parser) format(path string, node *yaml.Node) string {
	text, ok := p.text(path, node)
	if ok && text != Format {
		p.fault(node, path, fmt.Sprintf("%q is not a format of this release", text), "write "+Format)
	}
	return text
}

func (p *parser) group(path string, node *yaml.Node) {
	g := Group{Servers: defaultServers}
	found := p.mapping(path, node, []key{
		{"name", func(path string, n *yaml.Node) { g.Name = cluster.GroupName(p.name(path, n)) }},
		{"labels", func(path string, n *yaml.Node) { g.Labels = p.labels(path, n) }},
		{"servers", func(path string, n *yaml.Node) { g.Servers, _ = p.number(path, n, 1, maxServers) }},
		{"server-labels", func(path string, n *yaml.Node) {
			p.sequence(path, n, func(path string, n *yaml.Node) {
				g.ServerLabels = append(g.ServerLabels, p.serverLabels(path, n))
			})
		}},
	})
	p.declared.Groups = append(p.declared.Groups, g)
	p.groupAt = append(p.groupAt, place{file: p.file, path: path, lines: found})
}

func (p *parser) serverLabels(path string, node *yaml.Node) ServerLabels {
	var s ServerLabels
	found := p.mapping(path, node, []key{
		{"server", func(path string, n *yaml.Node) { s.Server = cluster.ServerName(p.name(path, n)) }},
		{"labels", func(path string, n *yaml.Node) { s.Labels = p.labels(path, n) }},
	})
	if _, ok := found["server"]; !ok && node.Kind == yaml.MappingNode {
		p.fault(node, join(path, "server"), "is missing", "name the server")
	}
	return s
}

func (p *parser) selector(path string, node *yaml.Node) {
	s := Selector{Weight: defaultWeight}
	found := p.mapping(path, node, []key{
		{"name", func(path string, n *yaml.Node) { s.Name = p.name(path, n) }},
		{"priority", func(path string, n *yaml.Node) { s.Priority, _ = p.number(path, n, -maxPriority, maxPriority) }},
		{"callers", func(path string, n *yaml.Node) { s.Callers = p.callers(path, n) }},
		{"requests", func(path string, n *yaml.Node) { s.Requests = p.requests(path, n) }},
		{"groups", func(path string, n *yaml.Node) { s.Groups = p.labels(path, n) }},
		{"tenant", func(path string, n *yaml.Node) { s.Tenant = p.name(path, n) }},
		{"weight", func(path string, n *yaml.Node) { s.Weight, _ = p.number(path, n, 1, maxWeight) }},
		{"deadline", func(path string, n *yaml.Node) { s.Deadline, _ = p.duration(path, n, minDeadline, maxDeadline) }},
		{"max-age", func(path string, n *yaml.Node) { s.MaxAge, _ = p.duration(path, n, 0, maxAge) }},
	})
	if s.Tenant == "" {
		s.Tenant = s.Name
	}
	p.declared.Selectors = append(p.declared.Selectors, s)
	p.selectorAt = append(p.selectorAt, place{file: p.file, path: path, lines: found})
}

func (p *parser) callers(path string, node *yaml.Node) CallerCondition {
	var c CallerCondition
	p.mapping(path, node, []key{
		{"databases", func(path string, n *yaml.Node) { c.Databases = p.texts(path, n) }},
		{"users", func(path string, n *yaml.Node) { c.Users = p.texts(path, n) }},
		{"applications", func(path string, n *yaml.Node) { c.Applications = p.texts(path, n) }},
		{"addresses", func(path string, n *yaml.Node) { c.Addresses = p.prefixes(path, n) }},
		{"labels", func(path string, n *yaml.Node) { c.Labels = p.labels(path, n) }},
	})
	return c
}

func (p *parser) requests(path string, node *yaml.Node) RequestCondition {
	var r RequestCondition
	p.mapping(path, node, []key{
		{"kinds", func(path string, n *yaml.Node) {
			p.sequence(path, n, func(path string, n *yaml.Node) {
				if kind, ok := p.kind(path, n); ok {
					r.Kinds = append(r.Kinds, kind)
				}
			})
		}},
		{"labels", func(path string, n *yaml.Node) { r.Labels = p.labels(path, n) }},
	})
	return r
}

func (p *parser) kind(path string, node *yaml.Node) (Kind, bool) {
	text, ok := p.text(path, node)
	if !ok {
		return "", false
	}
	known := make([]string, 0, len(Kinds))
	for _, kind := range Kinds {
		if text == string(kind) {
			return kind, true
		}
		known = append(known, string(kind))
	}
	fix := "write one of " + strings.Join(known, ", ")
	if near, ok := suggest.Closest(text, known); ok {
		fix = fmt.Sprintf("did you mean %q?", near)
	}
	p.fault(node, path, fmt.Sprintf("%q is not a kind of request", text), fix)
	return "", false
}
