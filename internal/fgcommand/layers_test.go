package fgcommand

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Guards against a package under internal that imports a package of a higher
// layer. The layers are listed from the lowest to the highest; all other packages
// are above them.
func TestLayers(t *testing.T) {
	layers := []string{"state", "coordination", "protocol", "transport"}
	layerOf := func(path string) int {
		for i, layer := range layers {
			if strings.Contains(path, "internal/"+layer+"/") {
				return i
			}
		}
		return len(layers)
	}
	for i, layer := range layers {
		root := filepath.Join("..", layer)
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, spec := range f.Imports {
				name, _ := strconv.Unquote(spec.Path.Value)
				if strings.Contains(name, "/filbertgap/internal/") && layerOf(name) > i {
					t.Errorf("%s imports %s", path, name)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
