package fgcommand

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for an external system, for tests", Example: "  filbertgap standin platform"}
	cmd.AddCommand(newStandinPlatform(), newStandinUpstream())
	return cmd
}

func newStandinPlatform() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a stand-in for the platform's key-value service and VM list",
		Example: "  filbertgap standin platform --listen 127.0.0.1:2400",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var p fgstandin.Platform
			return serveStandin(cmd, listen, p.Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:2400", "address to listen on")
	return cmd
}

func newStandinUpstream() *cobra.Command {
	var listen string
	var b fgstandin.Behavior
	cmd := &cobra.Command{
		Use:     "upstream",
		Short:   "Run a stand-in for an upstream",
		Example: "  filbertgap standin upstream --listen 127.0.0.1:9000 --slots 3 --service-millis 20",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var u fgstandin.Upstream
			u.SetBehavior(b)
			u.OnCrash(func() { os.Exit(1) })
			return serveStandin(cmd, listen, &u)
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on")
	f.IntVar(&b.Slots, "slots", 0, "maximum number of requests run at once (0: no limit)")
	f.Int64Var(&b.ServiceMillis, "service-millis", 0, "how long a request takes, in milliseconds")
	return cmd
}

// serveStandin prints the listening address, and serves HTTP until the command's
// context ends.
func serveStandin(cmd *cobra.Command, listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	_, _ = fmt.Fprintln(cmd.OutOrStdout(), "listening on "+l.Addr().String())
	s := &http.Server{Handler: h}
	stop := context.AfterFunc(cmd.Context(), func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
