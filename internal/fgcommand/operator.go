package fgcommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

// statusInterval is the polling interval of the commands that wait.
const statusInterval = 100 * time.Millisecond

// operatorFlags holds the flags that all operators' commands share.
type operatorFlags struct {
	addresses []string
	tokenFile string
	caFile    string
	timeout   time.Duration
	output    outputFormat
}

func (f *operatorFlags) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.addresses, "operator", []string{"http://127.0.0.1:8082"}, "base URL of a VM's operator interface; may be repeated, the first that responds is used")
	cmd.Flags().StringVar(&f.tokenFile, "operator-token-file", "", "file with the operators' credential")
	cmd.Flags().StringVar(&f.caFile, "operator-ca-file", "", "file with certificates to trust (default: the host's)")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 10*time.Second, "how long to wait")
	f.output.addFlag(cmd)
}

func (f *operatorFlags) client() (*fgclient.Operator, error) {
	if err := requireFlag("operator-token-file", f.tokenFile); err != nil {
		return nil, err
	}
	token, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return nil, fmt.Errorf("%w: --operator-token-file: %w", errUsage, err)
	}
	client, err := fgclient.NewOperator(fgclient.OperatorOptions{Addresses: f.addresses, Token: strings.TrimSpace(string(token)), CAFile: f.caFile})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return client, nil
}

// session holds the client, flags and arguments of one operators' command while it
// runs. Its context ends after --timeout.
type session struct {
	ctx    context.Context
	cmd    *cobra.Command
	client *fgclient.Operator
	output *outputFormat
	args   []string
}

func (s *session) print(value any, rows table) error {
	return s.output.print(s.cmd.OutOrStdout(), value, rows)
}

// operatorCommand adds the shared flags to cmd and makes it execute run.
func operatorCommand(cmd *cobra.Command, run func(*session) error) *cobra.Command {
	var f operatorFlags
	f.addFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := f.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
		defer cancel()
		return run(&session{ctx: ctx, cmd: cmd, client: client, output: &f.output, args: args})
	}
	return cmd
}

func operatorCommands() []*cobra.Command {
	key := &cobra.Command{Use: "key", Short: "Issue and withdraw keys", Example: "  filbertgap key issue --workspace committee"}
	key.AddCommand(newKeyIssue(), newKeyWithdraw())
	return []*cobra.Command{newApply(), newGet(), newDelete(), newStatus(), newWatch(), newDrain(), newLookup(), key}
}

// changeFlags holds the flags of commands that change the configuration.
type changeFlags struct {
	changeID string
	wait     bool
}

func (f *changeFlags) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.changeID, "change-id", "", "id of the change, to retry one whose outcome is unknown (default: random)")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force on every VM")
}

// changeResult is the output of commands that change the configuration.
type changeResult struct {
	ChangeID   string `json:"changeId"`
	Generation uint64 `json:"generation"`
}

// submit sends a change, and with --wait waits until every VM has applied it. The
// client retries it with the same id if a response is lost.
func (f *changeFlags) submit(s *session, c fgclient.Change) (changeResult, error) {
	c.ChangeID = f.changeID
	if c.ChangeID == "" {
		c.ChangeID = fgrequest.NewTraceID()
	}
	generation, err := s.client.Apply(s.ctx, c)
	if errors.Is(err, fgclient.ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded) {
		return changeResult{}, fmt.Errorf("the change may have been accepted; retry it with --change-id %s: %w", c.ChangeID, err)
	}
	if err != nil {
		return changeResult{}, err
	}
	if f.wait {
		err = s.waitInForce(generation)
	}
	return changeResult{ChangeID: c.ChangeID, Generation: generation}, err
}

func (f *changeFlags) submitAndPrint(s *session, c fgclient.Change) error {
	result, err := f.submit(s, c)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("accepted as generation %d", result.Generation)
	if f.wait {
		text += ", in force on every VM"
	}
	return s.print(result, table{{text}})
}

// waitInForce waits until every member has applied a generation.
func (s *session) waitInForce(generation uint64) error {
	// last is the last status that was read.
	var last *fgapi.Status
	for {
		status, err := s.client.Status(s.ctx, generation)
		if err != nil {
			return notInForceError(last, err)
		}
		if status.Status.Complete() {
			return nil
		}
		last = status.Status
		if err := s.pause(); err != nil {
			return notInForceError(last, err)
		}
	}
}

// notInForceError adds the members that have not applied a change, as far as they
// are known, to err.
func notInForceError(status *fgapi.Status, err error) error {
	if status == nil {
		return err
	}
	return fmt.Errorf("in force on %d of %d VMs, missing %s: %w", status.InForce, status.Members, strings.Join(status.Missing, ", "), err)
}

// pause waits for statusInterval or until the session's context ends.
func (s *session) pause() error {
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case <-time.After(statusInterval):
		return nil
	}
}

func parseKindAndName(args []string) (fgapi.Kind, string, error) {
	kind, ok := fgapi.ParseKind(args[0])
	if !ok {
		return "", "", fmt.Errorf("%w: kind %q is unknown; accepted are %v", errUsage, args[0], fgapi.Kinds())
	}
	if len(args) == 1 {
		return kind, "", nil
	}
	return kind, args[1], nil
}

func completeKinds(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var out []string
	for _, k := range fgapi.Kinds() {
		out = append(out, strings.ToLower(string(k)))
	}
	return out, cobra.ShellCompDirectiveNoFileComp
}

func newStatus() *cobra.Command {
	return operatorCommand(&cobra.Command{
		Use: "status", Short: "Show the fleet's status", Example: "  filbertgap status -o json", Args: cobra.NoArgs,
	}, func(s *session) error {
		status, err := s.client.Status(s.ctx, 0)
		if err != nil {
			return err
		}
		rows := table{{"VM", "REGION", "AVAILABILITY ZONE", "CALLERS", "LEAVING", "GENERATION"}}
		for _, m := range status.Members {
			generation := fmt.Sprint(status.Generation)
			if status.Status != nil && slices.Contains(status.Status.Missing, m.VM) {
				generation = "older"
			}
			rows = append(rows, []string{m.VM, m.Region, m.AvailabilityZone, m.CallerAddress, fmt.Sprint(m.Leaving), generation})
		}
		return s.print(status, rows)
	})
}
