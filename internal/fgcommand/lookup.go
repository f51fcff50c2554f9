package fgcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

func newLookup() *cobra.Command {
	var entries []string
	var caFile string
	var timeout time.Duration
	var output outputFormat
	cmd := &cobra.Command{
		Use:     "lookup",
		Short:   "Show which VMs a caller should use",
		Example: "  filbertgap lookup --entry http://127.0.0.1:8080 -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := fgclient.NewClient(fgclient.ClientOptions{Addresses: entries, CAFile: caFile})
			if err != nil {
				return fmt.Errorf("%w: --entry: %w", errUsage, err)
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			lookup, err := client.Lookup(ctx)
			if err != nil {
				return err
			}
			rows := table{{"VM", "ADDRESS", "REGION", "AVAILABILITY ZONE"}}
			for _, vm := range lookup.VMs {
				rows = append(rows, []string{vm.VM, vm.Address, vm.Region, vm.AvailabilityZone})
			}
			return output.print(cmd.OutOrStdout(), lookup, rows)
		},
	}
	cmd.Flags().StringSliceVar(&entries, "entry", []string{"http://127.0.0.1:8080"}, "base URL of a VM's callers' interface; may be repeated")
	cmd.Flags().StringVar(&caFile, "entry-ca-file", "", "file with certificates to trust (default: the host's)")
	cmd.Flags().DurationVar(&timeout, "timeout", 10*time.Second, "how long to wait")
	output.addFlag(cmd)
	return cmd
}
