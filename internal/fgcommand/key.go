package fgcommand

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

// issuedKey is the output of key issue. No other operators' command prints a key.
type issuedKey struct {
	ID        string     `json:"id"`
	Key       string     `json:"key"`
	Workspace string     `json:"workspace"`
	ExpiresAt *time.Time `json:"expiresAt,omitempty"`
}

func newKeyIssue() *cobra.Command {
	var workspace string
	var expires time.Duration
	var change changeFlags
	cmd := operatorCommand(&cobra.Command{
		Use: "issue --workspace NAME", Short: "Issue a key and show it once", Args: cobra.NoArgs,
		Example: "  filbertgap key issue --workspace committee --expires 720h",
	}, func(s *session) error {
		if err := requireFlag("workspace", workspace); err != nil {
			return err
		}
		if expires < 0 {
			return fmt.Errorf("%w: --expires is %s; accepted is a duration above zero", errUsage, expires)
		}
		k := fgkey.New()
		spec := &fgapi.KeySpec{Workspace: workspace, Digest: k.Digest()}
		if expires > 0 {
			at := time.Now().Add(expires).UTC().Truncate(time.Second)
			spec.ExpiresAt = &at
		}
		_, err := change.submit(s, fgclient.Change{Put: []fgapi.Resource{{
			APIVersion: fgapi.Version, Kind: fgapi.KindKey, Metadata: fgapi.Metadata{Name: k.ID()}, Spec: spec,
		}}})
		if errors.Is(err, fgclient.ErrOutcomeUnknown) {
			// The key is not printed, so it should not stay valid.
			return fmt.Errorf("the key may have been accepted; if \"get key %s\" shows it, withdraw it and issue another one: %w", k.ID(), err)
		}
		if err != nil {
			return err
		}
		return s.print(issuedKey{ID: k.ID(), Key: k.Reveal(), Workspace: workspace, ExpiresAt: spec.ExpiresAt}, table{{k.Reveal()}})
	})
	cmd.Flags().StringVar(&workspace, "workspace", "", "workspace that the key belongs to")
	cmd.Flags().DurationVar(&expires, "expires", 0, "how long the key is valid (default: until it is withdrawn)")
	cmd.Flags().BoolVar(&change.wait, "wait", false, "wait until the key is in force on every VM")
	return cmd
}

func newKeyWithdraw() *cobra.Command {
	var change changeFlags
	cmd := operatorCommand(&cobra.Command{
		Use: "withdraw ID", Short: "Withdraw a key by its id", Args: cobra.ExactArgs(1),
		Long:    "Withdraw a key by its id, which is the part of the key between the two underscores.",
		Example: "  filbertgap key withdraw 0123456789abcdef --wait",
	}, func(s *session) error {
		if fgkey.Contains(s.args[0]) {
			return fmt.Errorf("%w: the argument is a whole key; accepted is its id, the part between the two underscores", errUsage)
		}
		return change.submitAndPrint(s, fgclient.Change{Delete: []fgapi.Ref{{Kind: fgapi.KindKey, Name: s.args[0]}}})
	})
	change.addFlags(cmd)
	return cmd
}
