package fgcommand

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/internal/fgentry"
	"github.com/filbertgap/filbertgap/internal/transport/fgplatform"
)

func newEntry() *cobra.Command {
	var raw fgentry.RawSettings
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run one entry process",
		Long: "Run one entry process. SIGTERM or SIGINT stops it gracefully: it is removed from look-up responses, serves callers\n" +
			"with cached responses for --drain-wait, and waits up to --drain-timeout for requests in flight.",
		Example: "  filbertgap entry --vm vm-1 --region nairobi --availability-zone nairobi-a --platform http://10.0.0.1:2400 \\\n" +
			"    --fleet-secret-file fleet.secret --operator-token-file operator.token\n  filbertgap entry --check",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := raw.Check()
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			client, err := fgplatform.New(raw.Platform)
			if err != nil {
				return fmt.Errorf("%w: --platform: %w", errUsage, err)
			}
			if checkOnly {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return err
			}
			e := fgentry.New(settings, client, client, newLogger(cmd.ErrOrStderr()))
			if err := e.Listen(); err != nil {
				return err
			}
			return e.Run(cmd.Context())
		},
	}
	f := cmd.Flags()
	f.BoolVar(&checkOnly, "check", false, "check the settings and exit")
	f.StringVar(&raw.VM, "vm", "", "name of this VM in the platform's VM list")
	f.StringVar(&raw.Region, "region", "", "region of this VM")
	f.StringVar(&raw.AvailabilityZone, "availability-zone", "", "availability zone of this VM")
	f.StringVar(&raw.CallerListen, "caller-listen", "127.0.0.1:8080", "address for callers")
	f.StringVar(&raw.CallerAdvertise, "caller-advertise", "", "address advertised to callers (default: the listening address)")
	f.StringVar(&raw.PeerListen, "peer-listen", "127.0.0.1:8081", "address for other entry processes")
	f.StringVar(&raw.PeerAdvertise, "peer-advertise", "", "address advertised to other entry processes (default: the listening address)")
	f.StringSliceVar(&raw.PeerSeeds, "peer-seeds", nil, "peer addresses of other VMs, to fetch the state from while the platform is unreachable")
	f.StringVar(&raw.OperatorListen, "operator-listen", "127.0.0.1:8082", "address for operators")
	f.StringVar(&raw.MetricsListen, "metrics-listen", "127.0.0.1:8083", "address for metrics and health checks")
	f.StringVar(&raw.Platform, "platform", "", "base URL of the platform's key-value service")
	f.StringVar(&raw.FleetSecretFile, "fleet-secret-file", "", "file with the secret shared by the fleet's VMs")
	f.StringVar(&raw.OperatorTokenFile, "operator-token-file", "", "file with the operators' credential")
	f.StringVar(&raw.CallerTLSCertFile, "caller-tls-cert-file", "", "certificate for callers, in PEM (default: no TLS)")
	f.StringVar(&raw.CallerTLSKeyFile, "caller-tls-key-file", "", "private key of the certificate for callers")
	f.StringVar(&raw.OperatorTLSCertFile, "operator-tls-cert-file", "", "certificate for operators, in PEM; required unless --operator-listen is a loopback address")
	f.StringVar(&raw.OperatorTLSKeyFile, "operator-tls-key-file", "", "private key of the certificate for operators")
	f.DurationVar(&raw.DrainWait, "drain-wait", 30*time.Second, "how long a leaving VM serves callers with cached look-up responses")
	f.DurationVar(&raw.DrainTimeout, "drain-timeout", time.Minute, "how long a leaving VM waits for requests in flight")
	return cmd
}
