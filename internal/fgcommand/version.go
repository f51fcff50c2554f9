package fgcommand

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func newVersion() *cobra.Command {
	var output outputFormat
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  filbertgap version -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v := versionInfo{Version: Version, Revision: revision(), Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
			return output.print(cmd.OutOrStdout(), v, table{{Version}})
		},
	}
	output.addFlag(cmd)
	return cmd
}

// revision returns the commit that the program was built from, if known.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return ""
}
