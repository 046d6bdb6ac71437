package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// rootFolder is the path of the repository's root from this package.
const rootFolder = "../../.."

// loggedFolders are the folders of code whose log lines operators use to explain what
// became of a request.
var loggedFolders = []string{"internal/fleet", "internal/traffic", "internal/control/supervisor", "internal/control/node", "platform"}

// TestKeysAreListed checks that each log key that the code uses is in kebab case and
// is listed in the table in docs/OPERATIONS.md.
func TestKeysAreListed(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(rootFolder, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		listed[match[1]] = true
	}
	written := map[string]string{}
	for _, folder := range loggedFolders {
		if err := filepath.WalkDir(filepath.Join(rootFolder, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return collectKeys(path, written)
		}); err != nil {
			t.Fatal(err)
		}
	}
	if len(written) < 20 {
		t.Fatalf("got %d keys in the code, want at least 20: collectKeys doesn't find the logger calls", len(written))
	}
	kebab := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	for key, where := range written {
		if !kebab.MatchString(key) {
			t.Errorf("%s: got key %q, want kebab case", where, key)
		}
		if !listed[key] {
			t.Errorf("%s: key %q isn't listed in docs/OPERATIONS.md", where, key)
		}
	}
}

// collectKeys adds the keys that a file passes to a logger.
func collectKeys(path string, keys map[string]string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		first, known := map[string]int{"Info": 1, "Error": 2, "WithValues": 0}[method.Sel.Name]
		if !known {
			return true
		}
		for i := first; i < len(call.Args); i += 2 {
			if literal, ok := call.Args[i].(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if key, err := strconv.Unquote(literal.Value); err == nil {
					keys[key] = path
				}
			}
		}
		return true
	})
	return nil
}
