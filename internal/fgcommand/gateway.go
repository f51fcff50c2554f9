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

	"github.com/filbertgap/filbertgap/internal/coordination/fghedge"
	"github.com/filbertgap/filbertgap/internal/coordination/fglookup"
	"github.com/filbertgap/filbertgap/internal/fggateway"
	"github.com/filbertgap/filbertgap/internal/fglog"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
	fgadapter "github.com/filbertgap/filbertgap/platform"
)

const (
	// memoryLimitFraction is the fraction of the VM's memory that is set as Go's
	// memory limit. The garbage collector runs more often close to the limit.
	memoryLimitFraction = 0.7
	// gcPercent is twice Go's default: it uses some more memory to save processor
	// time. Both are scarce.
	gcPercent = 200
)

// The range of --max-response-header-bytes.
const (
	minResponseHeaderBytes = 1 << 10
	maxResponseHeaderBytes = 1 << 20
)

// gatewayOptions are the flags that change what a gateway does.
type gatewayOptions struct {
	headerBytes int
	maxExtra    float64
	admitShared bool
}

func newGateway() *cobra.Command {
	var path string
	var checkOnly bool
	var options gatewayOptions
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run one gateway on the users' platform",
		Long: "Run one gateway on the users' platform. It reads its settings from the platform's settings file.\n" +
			"SIGTERM stops it gracefully within the grace period in the settings.",
		Example: "  filbertgap gateway --settings /etc/filbertgap/node.yaml --check",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// SIGHUP ends a process that has not asked for it.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			defer signal.Stop(hangups)
			s, err := fgadapter.ReadSettings(path)
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if n := options.headerBytes; n < minResponseHeaderBytes || n > maxResponseHeaderBytes {
				return fmt.Errorf("%w: --max-response-header-bytes is %d; accepted is %d to %d", errUsage, n, minResponseHeaderBytes, maxResponseHeaderBytes)
			}
			if x := options.maxExtra; !(x >= 0 && x <= fghedge.MaxLimit) {
				return fmt.Errorf("%w: --max-extra-requests is %g; accepted is 0 to %g, as a part of all requests", errUsage, x, fghedge.MaxLimit)
			}
			if checkOnly {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return err
			}
			return runGateway(cmd, path, s, options, hangups)
		},
	}
	f := cmd.Flags()
	f.StringVar(&path, "settings", os.Getenv(fgadapter.SettingsVariable), "path of the platform's settings file")
	f.BoolVar(&checkOnly, "check", false, "check the settings and exit")
	f.IntVar(&options.headerBytes, "max-response-header-bytes", fgpool.DefaultMaxHeadBytes, "size of the largest head of an upstream's response, in bytes; a connection with a larger one is closed")
	f.Float64Var(&options.maxExtra, "max-extra-requests", 0, "second sends of slow requests that are idempotent, as a part of all requests of a group, 0 to 0.2; 0 means none")
	f.BoolVar(&options.admitShared, "admit-shared-groups", false, "admit requests by urgency also in groups that routes of different priority share, and not only where upstreams tell how slow they are")
	return cmd
}

// runGateway runs a gateway until the command's context ends. The log writer and
// the settings watch run until the gateway has stopped.
func runGateway(cmd *cobra.Command, path string, s fgadapter.Settings, o gatewayOptions, hangups <-chan os.Signal) error {
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	w := fglog.NewWriter(os.Stdout)
	logger := newLogger(w)
	codec := fgadapter.Codec{Regions: s.Regions}
	settings := gatewaySettings(s)
	settings.MaxResponseHeaderBytes, settings.MaxExtraRequests, settings.AdmitSharedGroups = o.headerBytes, o.maxExtra, o.admitShared
	g := fggateway.New(fggateway.Options{
		Settings: settings, Feed: fgadapter.NewStore(s.StoreAddress), Codec: codec, EncodeMember: codec.EncodeMember,
		Dialect: fgadapter.Dialect{}, Logger: logger, DroppedLines: w.Dropped,
	})
	if err := g.Listen(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(cmd.Context()))
	results := make(chan error, 2)
	go func() { results <- w.Run(background) }()
	go func() { results <- watchSettings(background, path, g, logger, hangups) }()
	err := g.Run(cmd.Context())
	stop()
	<-results
	<-results
	return errors.Join(err, w.Flush())
}

// gatewaySettings converts the platform's settings to those of a gateway.
func gatewaySettings(s fgadapter.Settings) fggateway.Settings {
	return fggateway.Settings{
		Self: fgsteer.MemberSpec{
			VM: s.VM, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
			CallerAddress: s.CallerListen, PeerAddress: s.PeerListen,
			Capacity: fglookup.Capacity(s.Cores, s.LinkBitsPerSecond),
		},
		CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, LookupListen: s.LookupListen,
		PeerListen: s.PeerListen, MetricsListen: s.MetricsListen, MemoryBytes: s.MemoryBytes,
		Bounds: fggateway.Bounds{
			LookupLifetime: s.Bounds.LookupLifetime, Grace: s.Bounds.Grace,
			ColdOver: s.Bounds.ColdOver, ColdSlack: s.Bounds.ColdSlack,
			RepeatRatio: s.Bounds.RepeatRatio, RepeatExtra: s.Bounds.RepeatExtra, RepeatWindow: s.Bounds.RepeatWindow,
			RateSlack: s.Bounds.RateSlack, LoadAware: s.Bounds.LoadAware,
		},
	}
}

// settingsInterval is how often the settings file is reloaded without a SIGHUP,
// because the platform may change it without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reloads the settings file at each signal in hangups and every
// settingsInterval, and applies its bounds to the gateway. If the file is invalid, the
// previous bounds stay in use.
func watchSettings(ctx context.Context, path string, g *fggateway.Gateway, logger logr.Logger, hangups <-chan os.Signal) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	var last fggateway.Bounds
	for {
		reason := "interval"
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			reason = "SIGHUP"
		case <-ticker.C:
		}
		s, err := fgadapter.ReadSettings(path)
		if err != nil {
			logger.Info("settings not reloaded", "reason", reason, "error", err.Error())
			continue
		}
		bounds := gatewaySettings(s).Bounds
		if reason == "SIGHUP" || bounds != last {
			logger.Info("settings reloaded", "reason", reason, "bounds", bounds)
		}
		last = bounds
		g.SetBounds(bounds)
	}
}
