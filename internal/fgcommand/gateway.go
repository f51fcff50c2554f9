package fgcommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
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
			return runGateway(cmd, path, s)
		},
	}
	f := cmd.Flags()
	f.StringVar(&path, "settings", os.Getenv(fgadapter.SettingsVariable), "path of the platform's settings file")
	f.BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

func runGateway(cmd *cobra.Command, path string, s fgadapter.Settings) error {
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitPart * float64(s.MemoryBytes)))
	}
	w := fglog.NewWriter(os.Stdout)
	logger := newLogger(w)
	codec := fgadapter.Codec{Regions: s.Regions}
	g := fggateway.New(fggateway.Options{
		Settings: gatewaySettings(s), Feed: fgadapter.NewStore(s.StoreAddress), Codec: codec, EncodeMember: codec.EncodeMember,
		Dialect: fgadapter.Dialect{}, Logger: logger, DroppedLines: w.Dropped,
	})
	if err := g.Listen(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(cmd.Context()))
	ends := make(chan error, 2)
	go func() { ends <- w.Run(background) }()
	go func() { ends <- watchSettings(background, path, g, logger) }()
	err := g.Run(cmd.Context())
	stop()
	<-ends
	<-ends
	return errors.Join(err, w.Flush())
}

// gatewaySettings returns the platform's settings as a gateway uses them.
func gatewaySettings(s fgadapter.Settings) fggateway.Settings {
	return fggateway.Settings{
		Self: fgsteer.MemberSpec{
			VM: s.VM, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
			CallerAddress: s.CallerListen, PeerAddress: s.PeerListen,
		},
		CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, LookupListen: s.LookupListen,
		PeerListen: s.PeerListen, MetricsListen: s.MetricsListen, MemoryBytes: s.MemoryBytes,
		Bounds: fggateway.Bounds{
			LookupLifetime: s.Bounds.LookupLifetime, Grace: s.Bounds.Grace,
			ColdOver: s.Bounds.ColdOver, ColdSlack: s.Bounds.ColdSlack,
			RepeatRatio: s.Bounds.RepeatRatio, RepeatExtra: s.Bounds.RepeatExtra, RepeatWindow: s.Bounds.RepeatWindow,
			RateSlack: s.Bounds.RateSlack,
		},
	}
}

// settingsEvery is how often the settings file is looked at, since it may change
// without a signal.
const settingsEvery = 5 * time.Second

// watchSettings takes over changed settings at SIGHUP, and now and then without
// one. Settings that cannot be used leave those in force.
func watchSettings(ctx context.Context, path string, g *fggateway.Gateway, logger logr.Logger) error {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGHUP)
	defer signal.Stop(told)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	var last fggateway.Bounds
	for {
		reason := "interval"
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-told:
			reason = "SIGHUP"
		case <-ticker.C:
		}
		s, err := fgadapter.ReadSettings(path)
		if err != nil {
			logger.Info("settings not taken over", "reason", reason, "error", err.Error())
			continue
		}
		bounds := gatewaySettings(s).Bounds
		if reason == "SIGHUP" || bounds != last {
			logger.Info("settings taken over", "reason", reason, "bounds", bounds)
		}
		last = bounds
		g.SetBounds(bounds)
	}
}
