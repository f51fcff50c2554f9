package fgcommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"unicode"

	"github.com/spf13/cobra"

	fgadapter "github.com/filbertgap/filbertgap/platform"
)

// errFindings means that a check has found something.
var errFindings = errors.New("the policy has findings")

// checkReport is the output of the check command.
type checkReport struct {
	File     string              `json:"file"`
	Findings []fgadapter.Finding `json:"findings"`
	// Differences is nil without a version in force to compare with.
	Differences []fgadapter.Difference `json:"differences,omitempty"`
}

// checkFlags are the flags of the check command.
type checkFlags struct {
	against   string
	settings  string
	upstreams int
	strict    bool
	json      bool
}

const checkHelp = `Check a policy before it is sent: JSON as in the platform's store, or - for
standard input.

Findings marked "refused" make gateways refuse the whole policy. Gateways accept all
other findings, also errors. Keys are never printed.

Exit codes: 0 no errors (with --strict, also no warnings), 1 findings, 2 wrong usage.`

func newCheck() *cobra.Command {
	var flags checkFlags
	cmd := &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a policy of the users' platform before it is sent",
		Long:    checkHelp,
		Example: "  filbertgap check policy.json\n  filbertgap check policy.json --against in-force.json --settings /etc/filbertgap/node.yaml",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return flags.run(cmd, args[0]) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.against, "against", "", "path of the policy in force; what differs from it is shown")
	f.StringVar(&flags.settings, "settings", "", "path of the platform's settings file; the names of regions are checked with it")
	f.IntVar(&flags.upstreams, "upstreams", 0, "number of known upstreams; 0 means that it is not known")
	f.BoolVar(&flags.strict, "strict", false, "exit with 1 for warnings too")
	f.BoolVar(&flags.json, "json", false, "print JSON")
	return cmd
}

// run checks a file and prints the report.
func (f checkFlags) run(cmd *cobra.Command, file string) error {
	if f.upstreams < 0 {
		return fmt.Errorf("%w: --upstreams is %d; accepted is 0 or more", errUsage, f.upstreams)
	}
	options := fgadapter.CheckOptions{Upstreams: f.upstreams}
	if f.settings != "" {
		s, err := fgadapter.ReadSettings(f.settings)
		if err != nil {
			return fmt.Errorf("%w: --settings: %w", errUsage, err)
		}
		options.Regions = s.Regions
	}
	data, err := readPolicy(cmd.InOrStdin(), file)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	report := checkReport{File: file, Findings: []fgadapter.Finding{}}
	report.Findings = append(report.Findings, fgadapter.CheckPolicy(data, options)...)
	if f.against != "" {
		inForce, err := os.ReadFile(f.against)
		if err != nil {
			return fmt.Errorf("%w: --against: %w", errUsage, err)
		}
		differences, findings, err := fgadapter.ComparePolicies(inForce, data)
		if err != nil {
			return fmt.Errorf("%w: --against: %s: %w", errUsage, f.against, err)
		}
		report.Findings = append(report.Findings, findings...)
		report.Differences = differences
	}
	if err := report.print(cmd.OutOrStdout(), f.json); err != nil {
		return err
	}
	return report.result(f.strict)
}

// readPolicy reads a file, or standard input if file is "-".
func readPolicy(stdin io.Reader, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}

// print writes the findings, then the differences.
func (r checkReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetEscapeHTML(false)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	var text strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&text, "%s:%d:%d: %s: %s\n", r.File, f.Line, f.Column, severityText(f), printable(strings.TrimSpace(f.Field+" "+f.Message)))
	}
	for _, d := range r.Differences {
		text.WriteString(printable(d.String()) + "\n")
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// severityText returns the severity of a finding and whether gateways accept it.
func severityText(f fgadapter.Finding) string {
	switch {
	case f.Refused:
		return string(f.Severity) + " (refused by gateways)"
	case f.Severity == fgadapter.SeverityError:
		return string(f.Severity) + " (accepted by gateways)"
	default:
		return string(f.Severity)
	}
}

// printable replaces control characters, which a policy may contain and which would
// change how a terminal shows the output.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return unicode.ReplacementChar
		}
		return r
	}, text)
}

// result returns errFindings if the findings count as such.
func (r checkReport) result(strict bool) error {
	errorCount, warningCount := 0, 0
	for _, f := range r.Findings {
		if f.Severity == fgadapter.SeverityError {
			errorCount++
		} else {
			warningCount++
		}
	}
	if errorCount > 0 || strict && warningCount > 0 {
		return fmt.Errorf("%w: %d errors, %d warnings", errFindings, errorCount, warningCount)
	}
	return nil
}
