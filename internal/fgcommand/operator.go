package fgcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

// operatorFlags are the flags that all operators' commands share.
type operatorFlags struct {
	address   string
	tokenFile string
	timeout   time.Duration
}

func (f *operatorFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "operator", "http://127.0.0.1:8082", "base URL of a VM's operator interface")
	cmd.Flags().StringVar(&f.tokenFile, "operator-token-file", "", "file with the operators' credential")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 10*time.Second, "how long to wait")
}

func (f *operatorFlags) client() (*fgclient.Operator, error) {
	token, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return nil, fmt.Errorf("%w: --operator-token-file: %w", errUsage, err)
	}
	return fgclient.NewOperator(f.address, strings.TrimSpace(string(token)))
}

// operatorCommand makes a command that calls the operators' interface.
func operatorCommand(cmd *cobra.Command, run func(context.Context, *cobra.Command, *fgclient.Operator, []string) error) *cobra.Command {
	var f operatorFlags
	f.add(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := f.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
		defer cancel()
		return run(ctx, cmd, client, args)
	}
	return cmd
}

func operatorCommands() []*cobra.Command {
	key := &cobra.Command{Use: "key", Short: "Issue and withdraw keys"}
	key.AddCommand(newKeyIssue(), newKeyWithdraw())
	return []*cobra.Command{newApply(), newGet(), newDelete(), newStatus(), newWatch(), key}
}

func newApply() *cobra.Command {
	var file string
	cmd := operatorCommand(&cobra.Command{Use: "apply -f FILE", Short: "Declare the resources of a file", Args: cobra.NoArgs},
		func(ctx context.Context, cmd *cobra.Command, o *fgclient.Operator, _ []string) error {
			data, err := readInput(cmd, file)
			if err != nil {
				return err
			}
			resources, err := fgapi.Decode(file, data)
			if err != nil {
				return err
			}
			return submit(ctx, cmd, o, fgclient.Change{Put: resources})
		})
	cmd.Flags().StringVarP(&file, "filename", "f", "", "YAML or JSON file, or - for standard input")
	_ = cmd.MarkFlagRequired("filename")
	return cmd
}

func readInput(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(file)
}

func submit(ctx context.Context, cmd *cobra.Command, o *fgclient.Operator, c fgclient.Change) error {
	c.ChangeID = fgrequest.NewTraceID()
	generation, err := o.Apply(ctx, c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "accepted as generation %d\n", generation)
	return err
}

func newGet() *cobra.Command {
	return operatorCommand(&cobra.Command{Use: "get KIND [NAME]", Short: "Show resources and their status", Args: cobra.RangeArgs(1, 2)},
		func(ctx context.Context, cmd *cobra.Command, o *fgclient.Operator, args []string) error {
			kind, name, err := kindAndName(args)
			if err != nil {
				return err
			}
			resources, err := o.Get(ctx, kind, name)
			if err != nil {
				return err
			}
			return printJSON(cmd, resources)
		})
}

func newDelete() *cobra.Command {
	return operatorCommand(&cobra.Command{Use: "delete KIND NAME", Short: "Withdraw a resource", Args: cobra.ExactArgs(2)},
		func(ctx context.Context, cmd *cobra.Command, o *fgclient.Operator, args []string) error {
			kind, name, err := kindAndName(args)
			if err != nil {
				return err
			}
			return submit(ctx, cmd, o, fgclient.Change{Delete: []fgapi.Ref{{Kind: kind, Name: name}}})
		})
}

func kindAndName(args []string) (fgapi.Kind, string, error) {
	kind, ok := fgapi.ParseKind(args[0])
	if !ok {
		return "", "", fmt.Errorf("%w: kind %q is unknown; accepted are %v", errUsage, args[0], fgapi.Kinds())
	}
	if len(args) == 1 {
		return kind, "", nil
	}
	return kind, args[1], nil
}

func newStatus() *cobra.Command {
	return operatorCommand(&cobra.Command{Use: "status", Short: "Show the fleet's status", Args: cobra.NoArgs},
		func(ctx context.Context, cmd *cobra.Command, o *fgclient.Operator, _ []string) error {
			s, err := o.Status(ctx)
			if err != nil {
				return err
			}
			return printJSON(cmd, s)
		})
}

// watchInterval separates the status calls of a watch.
const watchInterval = 100 * time.Millisecond

func newWatch() *cobra.Command {
	return operatorCommand(&cobra.Command{Use: "watch KIND NAME", Short: "Follow a resource until it is in force everywhere", Args: cobra.ExactArgs(2)},
		func(ctx context.Context, cmd *cobra.Command, o *fgclient.Operator, args []string) error {
			kind, name, err := kindAndName(args)
			if err != nil {
				return err
			}
			for {
				resources, err := o.Get(ctx, kind, name)
				if err != nil {
					return errors.Join(err, ctx.Err())
				}
				s := resources[0].Status
				if s.Complete() {
					_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s/%s is in force on %d of %d VMs\n", kind, name, s.InForce, s.Members)
					return err
				}
				select {
				case <-ctx.Done():
					return fmt.Errorf("in force on %d of %d VMs, missing %v: %w", s.InForce, s.Members, s.Missing, ctx.Err())
				case <-time.After(watchInterval):
				}
			}
		})
}

func newKeyIssue() *cobra.Command {
	var workspace string
	cmd := operatorCommand(&cobra.Command{Use: "issue", Short: "Issue a key and show it once", Args: cobra.NoArgs},
		func(ctx context.Context, cmd *cobra.Command, o *fgclient.Operator, _ []string) error {
			k := fgkey.New()
			_, err := o.Apply(ctx, fgclient.Change{ChangeID: fgrequest.NewTraceID(), Put: []fgapi.Resource{{
				APIVersion: fgapi.Version,
				Kind:       fgapi.KindKey,
				Metadata:   fgapi.Metadata{Name: k.ID()},
				Spec:       &fgapi.KeySpec{Workspace: workspace, Digest: k.Digest()},
			}}})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), k.Reveal())
			return err
		})
	cmd.Flags().StringVar(&workspace, "workspace", "", "workspace that the key belongs to")
	_ = cmd.MarkFlagRequired("workspace")
	return cmd
}

func newKeyWithdraw() *cobra.Command {
	return operatorCommand(&cobra.Command{Use: "withdraw ID", Short: "Withdraw a key by its id", Args: cobra.ExactArgs(1)},
		func(ctx context.Context, cmd *cobra.Command, o *fgclient.Operator, args []string) error {
			return submit(ctx, cmd, o, fgclient.Change{Delete: []fgapi.Ref{{Kind: fgapi.KindKey, Name: args[0]}}})
		})
}

func printJSON(cmd *cobra.Command, v any) error {
	e := json.NewEncoder(cmd.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}
