package shlayer

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "sequoiahollow/"

// layers lists the top folders of the layers, from the lowest to the highest.
var layers = []string{"state", "coordination", "protocol", "transport"}

// testTool measures processor time and memory. It imports no layer, and the tests
// of all layers may import it.
const testTool = module + "internal/shusage"

// programs lists the top folders outside the layers. They may import any layer,
// and no layer may import them. Folder platform is one of them because it adapts
// the system to the users' platform.
var programs = []string{"cmd", "examples", "internal", "platform"}

// Guards against an import that makes a lower layer depend on a higher one. The
// Go compiler rejects only import cycles of packages.
func TestImportsFollowLayers(t *testing.T) {
	seen := map[string]bool{}
	root := os.DirFS("../..")
	err := fs.WalkDir(root, ".", func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "testdata" || (file != "." && strings.HasPrefix(entry.Name(), "."))) {
			return fs.SkipDir
		}
		if entry.IsDir() || path.Ext(file) != ".go" {
			return nil
		}
		seen[topFolder(file)] = true
		imports, err := importsOf(root, file)
		for _, name := range imports {
			if reason := violation(file, name); reason != "" {
				t.Errorf("%s: %s", file, reason)
			}
		}
		return err
	})
	assert.NilError(t, err)
	for _, layer := range layers {
		assert.Assert(t, seen[layer], "no Go file of layer %s was read", layer)
	}
}

// Guards against a violation function that accepts every import.
func TestViolation(t *testing.T) {
	for name, c := range map[string]struct {
		file, imported, want string
	}{
		"lower layer":      {"transport/shpeer/a.go", module + "state/shmodel", ""},
		"own layer":        {"state/shconfig/a.go", module + "state/shmodel", ""},
		"program":          {"cmd/sequoiahollow/a.go", module + "transport/shpeer", ""},
		"other module":     {"state/shconfig/a.go", "net/http", ""},
		"higher layer":     {"state/shconfig/a.go", module + "coordination/shraft", "layer state imports layer coordination"},
		"skips a layer":    {"coordination/shraft/a_test.go", module + "transport/shlog", "layer coordination imports layer transport"},
		"test tool":        {"state/shconfig/a_test.go", testTool, ""},
		"tool in product":  {"state/shconfig/a.go", testTool, "layer state imports internal"},
		"imports program":  {"transport/shpeer/a.go", module + "internal/shmeasure", "layer transport imports internal"},
		"unknown folder":   {"other/a.go", "fmt", "folder other belongs to no layer"},
		"unknown imported": {"transport/shpeer/a.go", module + "other", "layer transport imports other"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, violation(c.file, c.imported), c.want)
		})
	}
}

// importsOf returns the import paths of a file.
func importsOf(root fs.FS, file string) ([]string, error) {
	data, err := fs.ReadFile(root, file)
	if err != nil {
		return nil, err
	}
	parsed, err := parser.ParseFile(token.NewFileSet(), file, data, parser.ImportsOnly)
	if err != nil {
		return nil, err
	}
	var imports []string
	for _, spec := range parsed.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		imports = append(imports, name)
	}
	return imports, nil
}

// violation returns the reason why a file may not import a package, or "".
func violation(file, imported string) string {
	from := topFolder(file)
	layer := slices.Index(layers, from)
	if layer < 0 {
		if !slices.Contains(programs, from) {
			return fmt.Sprintf("folder %s belongs to no layer", from)
		}
		return ""
	}
	target, ok := strings.CutPrefix(imported, module)
	if !ok || imported == testTool && strings.HasSuffix(file, "_test.go") {
		return ""
	}
	to := topFolder(target)
	switch other := slices.Index(layers, to); {
	case other < 0:
		return fmt.Sprintf("layer %s imports %s", from, to)
	case other > layer:
		return fmt.Sprintf("layer %s imports layer %s", from, to)
	default:
		return ""
	}
}

func topFolder(name string) string {
	top, _, _ := strings.Cut(name, "/")
	return top
}
