package fgcommand

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

var drainTargets = []fgapi.DrainTarget{fgapi.DrainUpstream, fgapi.DrainVM, fgapi.DrainAvailabilityZone, fgapi.DrainRegion}

func newDrain() *cobra.Command {
	var undo bool
	var change changeFlags
	cmd := operatorCommand(&cobra.Command{
		Use: "drain KIND NAME", Short: "Take an upstream, VM, availability zone or region out of service", Args: cobra.ExactArgs(2),
		Long:      "Create a Drain: its target receives no new requests, and those in flight finish normally. --undo deletes the Drain.",
		Example:   "  filbertgap drain upstream catalogue-1 --wait\n  filbertgap drain region kisumu --undo",
		ValidArgs: []string{"upstream", "vm", "availabilityzone", "region"},
	}, func(s *session) error {
		target, err := parseDrainTarget(s.args[0])
		if err != nil {
			return err
		}
		ref := fgapi.Ref{Kind: fgapi.KindDrain, Name: drainName(target, s.args[1])}
		if undo {
			return change.submitAndPrint(s, fgclient.Change{Delete: []fgapi.Ref{ref}})
		}
		return change.submitAndPrint(s, fgclient.Change{Put: []fgapi.Resource{{
			APIVersion: fgapi.Version, Kind: ref.Kind, Metadata: fgapi.Metadata{Name: ref.Name},
			Spec: &fgapi.DrainSpec{TargetKind: target, Target: s.args[1]},
		}}})
	})
	cmd.Flags().BoolVar(&undo, "undo", false, "delete the Drain, so that the target receives requests again")
	change.addFlags(cmd)
	return cmd
}

func parseDrainTarget(text string) (fgapi.DrainTarget, error) {
	for _, t := range drainTargets {
		if strings.EqualFold(text, string(t)) {
			return t, nil
		}
	}
	return "", fmt.Errorf("%w: kind %q cannot be drained; accepted are %v", errUsage, text, drainTargets)
}

// drainName returns the name of the Drain for a target. It is derived from the
// target only, so that --undo finds the Drain.
func drainName(target fgapi.DrainTarget, name string) string {
	return strings.ToLower(string(target) + "-" + name)
}
