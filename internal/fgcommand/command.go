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
	exitOK          = 0
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

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "FILBERTGAP_"

// errUsage marks errors in the command line, the settings or the input files.
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

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, fgclient.ErrConflict):
		return exitConflict
	case errors.Is(err, fgclient.ErrNotFound):
		return exitNotFound
	case errors.Is(err, context.DeadlineExceeded):
		return exitTimeout
	case errors.Is(err, fgclient.ErrUnreachable):
		return exitUnreachable
	case errors.Is(err, fgapi.ErrInvalid), errors.Is(err, fgclient.ErrInvalid):
		return exitInvalid
	default:
		return exitFailure
	}
}

const rootHelp = `filbertgap steers requests between callers and upstreams in several regions.

Each flag can also be set by an environment variable, for example
--operator-token-file by FILBERTGAP_OPERATOR_TOKEN_FILE.

Exit codes: 0 done, 1 failure, 2 wrong usage, 3 conflict with another change,
4 not found, 5 unreachable, 6 timed out, 7 refused as invalid.`

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:               "filbertgap",
		Short:             "Global traffic steering",
		Long:              rootHelp,
		Example:           "  filbertgap dev\n  filbertgap apply -f resources.yaml --wait\n  filbertgap get routes",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return applyEnvironment(cmd.Flags()) },
	}
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w; see %s --help", errUsage, err, cmd.CommandPath())
	})
	root.AddCommand(newEntry(), newGateway(), newStandin(), newVersion(), newDev(), newLoad(), newCheck())
	root.AddCommand(operatorCommands()...)
	markUsageErrors(root)
	return root
}

// markUsageErrors wraps errors about the arguments of cmd and its subcommands in
// errUsage. It makes a command that only groups others print its help.
func markUsageErrors(cmd *cobra.Command) {
	if !cmd.Runnable() {
		cmd.Args = cobra.NoArgs
		cmd.RunE = func(cmd *cobra.Command, _ []string) error { return cmd.Help() }
	}
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := check(cmd, args); err != nil {
				return fmt.Errorf("%w: %w; see %s --help", errUsage, err, cmd.CommandPath())
			}
			return nil
		}
	}
	for _, child := range cmd.Commands() {
		markUsageErrors(child)
	}
}

// requireFlag returns an error if a flag has no value from the command line or the
// environment.
func requireFlag(name, value string) error {
	if value == "" {
		return fmt.Errorf("%w: --%s is not set", errUsage, name)
	}
	return nil
}

// applyEnvironment sets each flag that is not on the command line from its
// environment variable, if that is set.
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
