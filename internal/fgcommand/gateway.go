package fgcommand

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/internal/fggateway"
	"github.com/filbertgap/filbertgap/internal/fglog"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	fgadapter "github.com/filbertgap/filbertgap/platform"
)

const (
	// memoryLimitPart is the part of the VM's memory above which the garbage
	// collector works harder.
	memoryLimitPart = 0.7
	// gcPercent spends some memory for processor time; both are scarce.
	gcPercent = 200
)

func newGateway() *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run one gateway on the users' platform",
		Long: "Run one gateway on the users' platform. Its settings are the platform's file.\n" +
			"SIGTERM stops it gracefully within the grace period that the settings name.",
		Example: "  filbertgap gateway --settings /etc/filbertgap/node.yaml --check",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := fgadapter.ReadSettings(path)
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if checkOnly {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return err
			}
			return runGateway(cmd, s)
		},
	}
	f := cmd.Flags()
	f.StringVar(&path, "settings", os.Getenv(fgadapter.SettingsVariable), "path of the platform's settings file")
	f.BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

func runGateway(cmd *cobra.Command, s fgadapter.Settings) error {
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitPart * float64(s.MemoryBytes)))
	}
	w := fglog.NewWriter(os.Stdout)
	logging, stop := context.WithCancel(context.WithoutCancel(cmd.Context()))
	ended := make(chan error, 1)
	go func() { ended <- w.Run(logging) }()
	defer func() {
		stop()
		<-ended
	}()
	codec := fgadapter.Codec{Regions: s.Regions}
	g := fggateway.New(fggateway.Options{
		Settings: fggateway.Settings{
			Self: fgsteer.MemberSpec{
				VM: s.VM, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
				CallerAddress: s.CallerListen, PeerAddress: s.PeerListen,
			},
			CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, LookupListen: s.LookupListen,
			PeerListen: s.PeerListen, MetricsListen: s.MetricsListen,
			LookupLifetime: s.Bounds.LookupLifetime, Grace: s.Bounds.Grace,
			ColdOver: s.Bounds.ColdOver, ColdSlack: s.Bounds.ColdSlack,
			RepeatRatio: s.Bounds.RepeatRatio, RepeatExtra: s.Bounds.RepeatExtra, RepeatWindow: s.Bounds.RepeatWindow,
			RateSlack: s.Bounds.RateSlack,
		},
		Feed: fgadapter.NewStore(s.StoreAddress), Codec: codec, Entry: codec.EncodeMember,
		Dialect: fgadapter.Dialect{}, Logger: newLogger(w),
	})
	if err := g.Listen(); err != nil {
		return err
	}
	return g.Run(cmd.Context())
}
