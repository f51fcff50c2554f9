// Command filbertgap runs and operates the filbertgap traffic steering system.
package main

import (
	"os"

	"github.com/filbertgap/filbertgap/internal/fgcommand"
)

func main() {
	os.Exit(fgcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
