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
	// MaxBytes is the maximum size of all declarations together.
	MaxBytes = 4 << 20

	defaultServers = 3
	maxServers     = 31
	defaultWeight  = 1
	maxWeight      = 1000
	maxPriority    = 1_000_000
	maxDeadline    = time.Hour
	minDeadline    = time.Millisecond
	maxAge         = 24 * time.Hour
	maxLabelBytes  = 63
)

var (
	namePattern      = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)
	yamlErrorPattern = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)
	// anchorPattern matches what the YAML library quotes from the text, which may be
	// a key.
	anchorPattern = regexp.MustCompile(`anchor '[^']*'`)
)

type (
	// parser parses one or more files into one set of declarations.
	parser struct {
		decoder
		declarations Declarations
		// groupPositions, selectorPositions and customerPositions are parallel to
		// the groups, selectors and customers of declarations.
		groupPositions    []position
		selectorPositions []position
		customerPositions []position
		// keyPositions holds the keys of all customers.
		keyPositions []keyPosition
		totalBytes   int
	}

	// position is where a group, selector or customer stands in the files.
	position struct {
		file  string
		path  string
		lines keyLines
	}
)

// Parse parses one YAML document. The declarations may be used only if there are
// no problems.
func Parse(text string) (*Declarations, []Problem) {
	var p parser
	p.parseDocument([]byte(text))
	return p.finish()
}

// ParseDir parses all files in a folder and its subfolders whose names end in
// .yaml or .yml and don't begin with a dot, and merges them into one set of
// declarations. The declarations may be used only if there are no problems.
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
		p.parseDocument(text)
		return nil
	})
	p.file = ""
	if err != nil {
		p.problems = append(p.problems, Problem{Text: "can't read: " + err.Error(), Fix: "check the folder's name and permissions"})
	}
	if err == nil && files == 0 {
		p.problems = append(p.problems, Problem{Text: "the folder holds no .yaml file", Fix: "check the folder's name"})
	}
	return p.finish()
}

// Marshal returns the declarations as one YAML document, which Parse accepts.
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
	sortProblems(p.problems)
	if len(p.problems) == 0 {
		p.declarations.index = p.declarations.Compile()
	}
	return &p.declarations, p.problems
}

func (p *parser) parseDocument(text []byte) {
	p.totalBytes += len(text)
	if p.totalBytes > MaxBytes {
		p.problems = append(p.problems, Problem{File: p.file, Text: fmt.Sprintf("the declarations are longer than %d bytes", MaxBytes), Fix: "declare fewer groups"})
		return
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var root yaml.Node
	err := decoder.Decode(&root)
	if errors.Is(err, io.EOF) {
		p.problems = append(p.problems, Problem{File: p.file, Line: 1, Field: "format", Text: "the document is empty", Fix: "write format: " + Format})
		return
	}
	if err != nil {
		p.addSyntaxProblem(err)
		return
	}
	p.parseRoot(root.Content[0])
	var second yaml.Node
	if err := decoder.Decode(&second); err == nil {
		p.addProblem(&second, "", "a second document follows", "write it into a file of its own")
	} else if !errors.Is(err, io.EOF) {
		p.addSyntaxProblem(err)
	}
}

func (p *parser) addSyntaxProblem(err error) {
	problem := Problem{File: p.file, Text: "not YAML", Fix: "mend the YAML syntax"}
	if parts := yamlErrorPattern.FindStringSubmatch(err.Error()); parts != nil {
		problem.Line, _ = strconv.Atoi(parts[1])
		problem.Text = "not YAML: " + anchorPattern.ReplaceAllString(parts[2], "anchor")
	}
	p.problems = append(p.problems, problem)
}

func (p *parser) parseRoot(node *yaml.Node) {
	format := ""
	found := p.decodeMapping("", node, []mappingKey{
		{"format", func(path string, n *yaml.Node) { format = p.parseFormat(path, n) }},
		{"groups", func(path string, n *yaml.Node) { p.decodeSequence(path, n, p.parseGroup) }},
		{"selectors", func(path string, n *yaml.Node) { p.decodeSequence(path, n, p.parseSelector) }},
		{"customers", p.parseCustomers},
	})
	if _, ok := found["format"]; !ok && node.Kind == yaml.MappingNode {
		p.addProblem(node, "format", "is missing", "write format: "+Format)
	}
	p.declarations.Format = format
}

func (p *parser) parseFormat(path string, node *yaml.Node) string {
	text, ok := p.decodeString(path, node)
	if ok && text != Format {
		p.addProblem(node, path, fmt.Sprintf("%q is not a format of this release", text), "write "+Format)
	}
	return text
}

func (p *parser) parseGroup(path string, node *yaml.Node) {
	g := Group{Servers: defaultServers}
	found := p.decodeMapping(path, node, []mappingKey{
		{"name", func(path string, n *yaml.Node) { g.Name = cluster.GroupName(p.decodeName(path, n)) }},
		{"labels", func(path string, n *yaml.Node) { g.Labels = p.decodeLabels(path, n) }},
		{"servers", func(path string, n *yaml.Node) { g.Servers, _ = p.decodeInt(path, n, 1, maxServers) }},
		{"server-labels", func(path string, n *yaml.Node) {
			p.decodeSequence(path, n, func(path string, n *yaml.Node) {
				g.ServerLabels = append(g.ServerLabels, p.parseServerLabels(path, n))
			})
		}},
	})
	p.declarations.Groups = append(p.declarations.Groups, g)
	p.groupPositions = append(p.groupPositions, position{file: p.file, path: path, lines: found})
}

func (p *parser) parseServerLabels(path string, node *yaml.Node) ServerLabels {
	var s ServerLabels
	found := p.decodeMapping(path, node, []mappingKey{
		{"server", func(path string, n *yaml.Node) { s.Server = cluster.ServerName(p.decodeName(path, n)) }},
		{"labels", func(path string, n *yaml.Node) { s.Labels = p.decodeLabels(path, n) }},
	})
	if _, ok := found["server"]; !ok && node.Kind == yaml.MappingNode {
		p.addProblem(node, joinPath(path, "server"), "is missing", "name the server")
	}
	return s
}

func (p *parser) parseSelector(path string, node *yaml.Node) {
	s := Selector{Weight: defaultWeight}
	found := p.decodeMapping(path, node, []mappingKey{
		{"name", func(path string, n *yaml.Node) { s.Name = p.decodeName(path, n) }},
		{"priority", func(path string, n *yaml.Node) { s.Priority, _ = p.decodeInt(path, n, -maxPriority, maxPriority) }},
		{"callers", func(path string, n *yaml.Node) { s.Callers = p.parseCallers(path, n) }},
		{"requests", func(path string, n *yaml.Node) { s.Requests = p.parseRequests(path, n) }},
		{"groups", func(path string, n *yaml.Node) { s.Groups = p.decodeLabels(path, n) }},
		{"tenant", func(path string, n *yaml.Node) { s.Tenant = p.decodeName(path, n) }},
		{"weight", func(path string, n *yaml.Node) { s.Weight, _ = p.decodeInt(path, n, 1, maxWeight) }},
		{"deadline", func(path string, n *yaml.Node) { s.Deadline, _ = p.decodeDuration(path, n, minDeadline, maxDeadline) }},
		{"max-age", func(path string, n *yaml.Node) { s.MaxAge, _ = p.decodeDuration(path, n, 0, maxAge) }},
	})
	if s.Tenant == "" {
		s.Tenant = s.Name
	}
	p.declarations.Selectors = append(p.declarations.Selectors, s)
	p.selectorPositions = append(p.selectorPositions, position{file: p.file, path: path, lines: found})
}

func (p *parser) parseCallers(path string, node *yaml.Node) CallerCondition {
	var c CallerCondition
	p.decodeMapping(path, node, []mappingKey{
		{"databases", func(path string, n *yaml.Node) { c.Databases = p.decodeStrings(path, n) }},
		{"users", func(path string, n *yaml.Node) { c.Users = p.decodeStrings(path, n) }},
		{"applications", func(path string, n *yaml.Node) { c.Applications = p.decodeStrings(path, n) }},
		{"addresses", func(path string, n *yaml.Node) { c.Addresses = p.decodePrefixes(path, n) }},
		{"labels", func(path string, n *yaml.Node) { c.Labels = p.decodeLabels(path, n) }},
	})
	return c
}

func (p *parser) parseRequests(path string, node *yaml.Node) RequestCondition {
	var r RequestCondition
	p.decodeMapping(path, node, []mappingKey{
		{"kinds", func(path string, n *yaml.Node) {
			p.decodeSequence(path, n, func(path string, n *yaml.Node) {
				if kind, ok := p.parseKind(path, n); ok {
					r.Kinds = append(r.Kinds, kind)
				}
			})
		}},
		{"labels", func(path string, n *yaml.Node) { r.Labels = p.decodeLabels(path, n) }},
	})
	return r
}

func (p *parser) parseKind(path string, node *yaml.Node) (Kind, bool) {
	text, ok := p.decodeString(path, node)
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
	p.addProblem(node, path, fmt.Sprintf("%q is not a kind of request", text), fix)
	return "", false
}
