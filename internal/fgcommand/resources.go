package fgcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

func newApply() *cobra.Command {
	var files []string
	var change changeFlags
	cmd := operatorCommand(&cobra.Command{
		Use:     "apply -f FILE",
		Short:   "Apply the resources in files and directories as one change",
		Example: "  filbertgap apply -f resources.yaml --wait\n  filbertgap apply -f regions/ -f routes.yaml\n  filbertgap get routes -o json | filbertgap apply -f -",
		Args:    cobra.NoArgs,
	}, func(s *session) error {
		resources, err := readResources(s.cmd.InOrStdin(), files)
		if err != nil {
			return err
		}
		if err := s.validate(resources); err != nil {
			return err
		}
		return change.submitAndPrint(s, fgclient.Change{Put: resources})
	})
	cmd.Flags().StringArrayVarP(&files, "filename", "f", nil, "YAML or JSON file, directory of such files, or - for standard input; may be repeated")
	change.addFlags(cmd)
	return cmd
}

// validate checks resources together with the declared ones, so that invalid
// references are reported with file and line. The VM validates the change again.
func (s *session) validate(resources []fgapi.Resource) error {
	declared, err := s.client.Get(s.ctx, "", "")
	if err != nil {
		return err
	}
	replaced := map[fgapi.Ref]bool{}
	for _, r := range resources {
		replaced[r.Ref()] = true
	}
	all := slices.Clone(resources)
	for _, r := range declared {
		if !replaced[r.Ref()] {
			all = append(all, r)
		}
	}
	return fgapi.Validate(all)
}

// readResources decodes files, directories and standard input. Its error joins the
// errors of all of them.
func readResources(stdin io.Reader, names []string) ([]fgapi.Resource, error) {
	if len(names) == 0 {
		return nil, fmt.Errorf("%w: --filename is not set", errUsage)
	}
	var out []fgapi.Resource
	var errs []error
	for _, name := range names {
		files, err := resourceFiles(name)
		errs = append(errs, err)
		for _, file := range files {
			resources, err := decodeFile(stdin, file)
			out = append(out, resources...)
			errs = append(errs, err)
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%w: %s: no resource is declared", fgapi.ErrInvalid, strings.Join(names, ", "))
	}
	return out, nil
}

// decodeFile decodes one file, or standard input if file is "-".
func decodeFile(stdin io.Reader, file string) ([]fgapi.Resource, error) {
	if file == "-" {
		data, err := io.ReadAll(io.LimitReader(stdin, fgapi.MaxInputBytes+1))
		if err != nil {
			return nil, err
		}
		return fgapi.Decode("standard input", data)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: --filename: %w", errUsage, err)
	}
	return fgapi.Decode(file, data)
}

// resourceFiles returns the resource files in a directory, or else name itself.
func resourceFiles(name string) ([]string, error) {
	info, err := os.Stat(name)
	if name == "-" || err == nil && !info.IsDir() {
		return []string{name}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: --filename: %w", errUsage, err)
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		return nil, fmt.Errorf("%w: --filename: %w", errUsage, err)
	}
	var out []string
	for _, e := range entries {
		if ext := filepath.Ext(e.Name()); !e.IsDir() && slices.Contains([]string{".yaml", ".yml", ".json"}, ext) {
			out = append(out, filepath.Join(name, e.Name()))
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%w: --filename: %s has no .yaml, .yml or .json file", errUsage, name)
	}
	return out, nil
}

func newGet() *cobra.Command {
	return operatorCommand(&cobra.Command{
		Use: "get KIND [NAME]", Short: "Show resources and their status", Args: cobra.RangeArgs(1, 2), ValidArgsFunction: completeKinds,
		Example: "  filbertgap get workspaces\n  filbertgap get route catalogue -o yaml",
	}, func(s *session) error {
		kind, name, err := parseKindAndName(s.args)
		if err != nil {
			return err
		}
		resources, err := s.client.Get(s.ctx, kind, name)
		if err != nil {
			return err
		}
		rows := table{{"NAME", "VERSION", "IN FORCE", "SPEC"}}
		for _, r := range resources {
			rows = append(rows, []string{r.Metadata.Name, fmt.Sprint(r.Metadata.ResourceVersion), formatInForce(r.Status), specSummary(r.Spec)})
		}
		return s.print(resources, rows)
	})
}

// formatInForce returns how many members have applied a resource, as "2/3".
func formatInForce(s *fgapi.Status) string {
	if s == nil {
		return ""
	}
	return fmt.Sprintf("%d/%d", s.InForce, s.Members)
}

// specSummary returns a spec's fields in one line, without the digest of a key.
func specSummary(spec fgapi.Spec) string {
	if k, ok := spec.(*fgapi.KeySpec); ok {
		spec = &fgapi.KeySpec{Workspace: k.Workspace, ExpiresAt: k.ExpiresAt}
	}
	data, err := json.Marshal(spec)
	if err != nil {
		return err.Error()
	}
	text := strings.NewReplacer(`"digest":"",`, "", `"digest":""`, "", `"`, "").Replace(string(data))
	return strings.TrimSuffix(strings.Trim(text, "{}"), ",")
}

func newDelete() *cobra.Command {
	var change changeFlags
	cmd := operatorCommand(&cobra.Command{
		Use: "delete KIND NAME", Short: "Delete a resource", Args: cobra.ExactArgs(2), ValidArgsFunction: completeKinds,
		Example: "  filbertgap delete route catalogue --wait",
	}, func(s *session) error {
		kind, name, err := parseKindAndName(s.args)
		if err != nil {
			return err
		}
		return change.submitAndPrint(s, fgclient.Change{Delete: []fgapi.Ref{{Kind: kind, Name: name}}})
	})
	change.addFlags(cmd)
	return cmd
}

// watchEvent is one line of the output of watch with -o json or -o yaml.
type watchEvent struct {
	Kind    fgapi.Kind `json:"kind"`
	Name    string     `json:"name"`
	Version uint64     `json:"resourceVersion"`
	InForce int        `json:"inForce"`
	Members int        `json:"members"`
	Missing []string   `json:"missing,omitempty"`
}

func newWatch() *cobra.Command {
	return operatorCommand(&cobra.Command{
		Use: "watch KIND NAME", Short: "Watch a resource until it is in force on every VM", Args: cobra.ExactArgs(2), ValidArgsFunction: completeKinds,
		Long:    "Watch a resource until it is in force on every VM. Prints a line for each change of its status; with -o json, a JSON object.",
		Example: "  filbertgap watch route catalogue\n  filbertgap watch key 0123456789abcdef -o json --timeout 30s",
	}, func(s *session) error {
		kind, name, err := parseKindAndName(s.args)
		if err != nil {
			return err
		}
		var status *fgapi.Status
		last, etag := "", ""
		for {
			var resources []fgapi.Resource
			resources, etag, err = s.client.Watch(s.ctx, kind, name, etag)
			if errors.Is(err, context.DeadlineExceeded) {
				return notInForceError(status, err)
			}
			if err != nil {
				return err
			}
			status = resources[0].Status
			if last, err = s.printStatus(resources[0], last); err != nil || status.Complete() {
				return err
			}
		}
	})
}

// printStatus prints a resource's status as one line, unless that equals the last
// line. It returns the line.
func (s *session) printStatus(r fgapi.Resource, last string) (string, error) {
	if r.Status == nil {
		return last, nil
	}
	line := watchEvent{Kind: r.Kind, Name: r.Metadata.Name, Version: r.Metadata.ResourceVersion, InForce: r.Status.InForce, Members: r.Status.Members, Missing: r.Status.Missing}
	text := fmt.Sprintf("%s is in force on %d of %d VMs", r.Ref(), line.InForce, line.Members)
	if len(line.Missing) > 0 {
		text += ", missing " + strings.Join(line.Missing, ", ")
	}
	if *s.output != outputTable {
		data, err := json.Marshal(line)
		if err != nil {
			return last, err
		}
		text = string(data)
	}
	if text == last {
		return last, nil
	}
	_, err := fmt.Fprintln(s.cmd.OutOrStdout(), text)
	return text, err
}
