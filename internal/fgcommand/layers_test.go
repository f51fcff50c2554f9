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

// Guards against a package that imports one of a layer above its own.
func TestLayers(t *testing.T) {
	layers := []string{"state", "coordination", "protocol", "transport"}
	rank := func(path string) int {
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
				if strings.Contains(name, "/filbertgap/internal/") && rank(name) > i {
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
