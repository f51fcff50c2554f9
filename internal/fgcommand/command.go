// Package fgcommand implements the filbertgap command line.
package fgcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

// Exit codes of the command line.
const (
	exitDone        = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitNotFound    = 4
	exitUnreachable = 5
	exitTimeout     = 6
	exitInvalid     = 7
)

// Version is the program's version.
const Version = "0.1.0-dev"

// envPrefix begins the environment variable of each flag.
const envPrefix = "FILBERTGAP_"

// errUsage marks faults of the command line itself.
var errUsage = errors.New("usage")

// Run executes a command line and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "filbertgap: "+err.Error())
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, fgclient.ErrConflict):
		return exitConflict
	case errors.Is(err, fgclient.ErrNotFound):
		return exitNotFound
	case errors.Is(err, fgclient.ErrUnreachable):
		return exitUnreachable
	case errors.Is(err, context.DeadlineExceeded):
		return exitTimeout
	case errors.Is(err, fgapi.ErrInvalid), errors.Is(err, fgclient.ErrInvalid):
		return exitInvalid
	default:
		return exitFailure
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:               "filbertgap",
		Short:             "Global traffic steering",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return applyEnvironment(cmd.Flags()) },
	}
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w; see %s --help", errUsage, err, cmd.CommandPath())
	})
	root.AddCommand(newEntry(), newStandin(), newVersion())
	root.AddCommand(operatorCommands()...)
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), Version)
			return err
		},
	}
}

// applyEnvironment sets each flag that was not given from the environment
// variable of the same name.
func applyEnvironment(flags *pflag.FlagSet) error {
	var errs []error
	flags.VisitAll(func(f *pflag.Flag) {
		name := envPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if f.Changed || !ok {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			errs = append(errs, fmt.Errorf("%w: %s: %w", errUsage, name, err))
		}
	})
	return errors.Join(errs...)
}

func newLogger(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, nil))
}
