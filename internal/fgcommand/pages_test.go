package fgcommand

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
)

// Guards against flags of entry and refusal codes that docs/OPERATIONS.md does not
// describe.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	newEntry().Flags().VisitAll(func(f *pflag.Flag) {
		if !strings.Contains(string(page), "`--"+f.Name+"`") {
			t.Errorf("--%s is not described", f.Name)
		}
	})
	for _, code := range fgproblem.Codes() {
		if !strings.Contains(string(page), "| `"+string(code)+"` |") {
			t.Errorf("code %s is not described", code)
		}
	}
}

// Guards against codes and log messages of a gateway that docs/OPERATIONS.md does
// not describe.
func TestGatewayPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ file, pattern string }{
		{"../fggateway/request.go", `(?m)^\tcode\w+ +code = "([^"]+)"`},
		{"../fggateway/exchange.go", `logger\.Info\("(copy of the store fetched|gateway state changed)"`},
		{"../fggateway/contacts.go", `logger\.Info\("([^"]+)"`},
		{"../fggateway/forward.go", `logger\.Info\("([^"]+)"`},
		{"../fggateway/hedge.go", `logger\.Info\("([^"]+)"`},
		{"../fggateway/limit.go", `logger\.Info\("([^"]+)"`},
		{"../fggateway/overdue.go", `logger\.Info\("([^"]+)"`},
		{"../fggateway/regions.go", `logger\.Info\("([^"]+)"`},
		{"../fggateway/crash.go", `logger\.Info\("([^"]+)"`},
		{"../fggateway/admission.go", `message = "([^"]+)"`},
		{"../fggateway/isolated.go", `logger\.Info\("([^"]+)"`},
		{"../fggateway/callers.go", `logger\.Info\("([^"]+)"`},
		{"../coordination/fgmirror/mirror.go", `Logger\.Info\("([^"]+)"`},
		{"../coordination/fgmirror/order.go", `Logger\.Info\("([^"]+)"`},
		{"../coordination/fgmirror/announce.go", `Logger\.Info\("([^"]+)"`},
		{"gateway.go", `logger\.Info\("([^"]+)"`},
	}
	for _, tt := range tests {
		source, err := os.ReadFile(tt.file)
		if err != nil {
			t.Fatal(err)
		}
		found := regexp.MustCompile(tt.pattern).FindAllStringSubmatch(string(source), -1)
		if len(found) == 0 {
			t.Errorf("%s has nothing that matches %s", tt.file, tt.pattern)
		}
		for _, f := range found {
			if !strings.Contains(string(page), "`"+f[1]+"`") {
				t.Errorf("%s of %s is not described", f[1], tt.file)
			}
		}
	}
}

// Guards against refusal codes that Codes does not return, which would then be
// missing from the metrics and from docs/OPERATIONS.md.
func TestCodesAreComplete(t *testing.T) {
	source, err := os.ReadFile("../protocol/fgproblem/problem.go")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(fgproblem.Codes()), strings.Count(string(source), ` Code = "`); got != want {
		t.Errorf("Codes returns %d codes, %d are declared", got, want)
	}
}

// Guards against a command without a short help text or an example.
func TestHelp(t *testing.T) {
	var visit func(*cobra.Command)
	visit = func(c *cobra.Command) {
		if c.Short == "" || c.Example == "" {
			t.Errorf("%s has no short help or no example", c.CommandPath())
		}
		for _, child := range c.Commands() {
			visit(child)
		}
	}
	visit(newRoot())
}
