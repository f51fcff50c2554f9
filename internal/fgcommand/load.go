package fgcommand

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/internal/fgload"
)

// errExpectationFailed means that the report of a load run does not meet an
// --expect flag.
var errExpectationFailed = merry.Sentinel("an expectation does not hold")

const (
	defaultMaxInFlight = 512
	maxInFlightLimit   = 10_000
)

type loadFlags struct {
	entries     []string
	mix         string
	trace       string
	record      string
	expect      []string
	maxInFlight int
	timeout     time.Duration
	allowRemote bool
	output      outputFormat
}

const loadHelp = `Send requests at their scheduled times, whether or not earlier ones have been
answered (open loop), and measure what callers see. Latency is measured from the
scheduled time.

The mix file names the workspaces with their keys, rates and requests:

  seed: 1
  duration: 10s
  workspaces:
    - name: committee
      keyFile: committee.key
      rate: 50
      limit: {requestsPerSecond: 50, burst: 20}
      requests:
        - {weight: 9, path: /catalogue/frames, idempotent: true}
        - {weight: 1, method: POST, path: /reservations, bodyBytes: 200}

An expectation is [WORKSPACE:]METRIC, one of < <= > >= =, and a value. Metrics are
p50, p90, p99, p99.9, max, answered, refused, refused-within-rate, unknown, errors,
unsent, served (%) and worst-served (%). The exit code is 1 if one does not hold.`

func newLoad() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:     "load --mix FILE",
		Short:   "Generate load and measure what callers see",
		Long:    loadHelp,
		Example: "  filbertgap load --mix mix.yaml --expect 'p99<50ms' --expect refused-within-rate=0\n  filbertgap load --mix mix.yaml --trace monday.jsonl -o json",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.entries, "entry", []string{"http://127.0.0.1:8080"}, "base URL of a VM's callers' interface; may be repeated")
	flags.StringVar(&f.mix, "mix", "", "file that describes the load")
	flags.StringVar(&f.trace, "trace", "", "file with a recorded schedule, in JSON lines, to use instead of the mix's requests")
	flags.StringVar(&f.record, "record", "", "file to write the schedule to, for use with --trace")
	flags.StringArrayVar(&f.expect, "expect", nil, "expectation that the result must meet, for example 'p99<50ms'; may be repeated")
	flags.IntVar(&f.maxInFlight, "max-in-flight", defaultMaxInFlight, "maximum number of requests in flight")
	flags.DurationVar(&f.timeout, "timeout", 30*time.Second, "how long a request may take from its scheduled time")
	flags.BoolVar(&f.allowRemote, "allow-remote", false, "permit addresses other than loopback")
	f.output.addFlag(cmd)
	return cmd
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	expectations, err := f.check()
	if err != nil {
		return err
	}
	mix, err := fgload.ReadMix(f.mix)
	if err != nil {
		return fmt.Errorf("%w: --mix: %w", errUsage, err)
	}
	arrivals, err := f.schedule(mix)
	if err != nil {
		return err
	}
	callers, err := fgload.NewCallers(mix, f.entries, f.allowRemote)
	if err != nil {
		return fmt.Errorf("%w: --entry: %w", errUsage, err)
	}
	report := fgload.Run(cmd.Context(), mix, arrivals, fgload.Options{MaxInFlight: f.maxInFlight, Timeout: f.timeout, Callers: callers})
	if err := f.output.print(cmd.OutOrStdout(), report, loadTable(report)); err != nil {
		return err
	}
	var errs []error
	for _, e := range expectations {
		if err := e.Check(report); err != nil {
			errs = append(errs, fmt.Errorf("%w: %w", errExpectationFailed, err))
		}
	}
	return errors.Join(errs...)
}

// check validates the flags and returns the parsed expectations.
func (f *loadFlags) check() ([]fgload.Expectation, error) {
	errs := []error{requireFlag("mix", f.mix)}
	var out []fgload.Expectation
	for _, text := range f.expect {
		e, err := fgload.ParseExpectation(text)
		if err != nil {
			errs = append(errs, fmt.Errorf("%w: --expect: %w", errUsage, err))
		}
		out = append(out, e)
	}
	if f.maxInFlight < 1 || f.maxInFlight > maxInFlightLimit {
		errs = append(errs, fmt.Errorf("%w: --max-in-flight is %d; accepted is 1 to %d", errUsage, f.maxInFlight, maxInFlightLimit))
	}
	if f.timeout <= 0 || f.timeout > fgload.MaxDuration {
		errs = append(errs, fmt.Errorf("%w: --timeout is %s; accepted is a duration up to %s", errUsage, f.timeout, fgload.MaxDuration))
	}
	return out, errors.Join(errs...)
}

// schedule reads the schedule from the trace file, or generates it from the mix if
// --trace is not set. If --record is set, it also writes the schedule to that file.
func (f *loadFlags) schedule(mix *fgload.Mix) ([]fgload.Arrival, error) {
	arrivals, err := mix.Schedule()
	if f.trace != "" {
		var file *os.File
		if file, err = os.Open(f.trace); err == nil {
			defer func() { _ = file.Close() }()
			arrivals, err = mix.ReadTrace(f.trace, file)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	if f.record == "" {
		return arrivals, nil
	}
	file, err := os.Create(f.record)
	if err != nil {
		return nil, fmt.Errorf("%w: --record: %w", errUsage, err)
	}
	return arrivals, errors.Join(fgload.WriteTrace(file, arrivals), file.Close())
}

func loadTable(r *fgload.Report) table {
	rows := table{{"WORKSPACE", "OFFERED", "ANSWERED", "SERVED", "REFUSED", "WITHIN RATE", "UNKNOWN", "ERRORS", "UNSENT", "P50", "P99", "P99.9", "MAX", "CODES"}}
	for _, s := range append(append([]*fgload.Summary(nil), r.Workspaces...), r.Total) {
		var codes []string
		for _, c := range s.SortedCodes() {
			codes = append(codes, fmt.Sprintf("%s=%d", c, s.Codes[c]))
		}
		rows = append(rows, []string{
			s.Workspace, fmt.Sprint(s.Offered), fmt.Sprint(s.Answered), fmt.Sprintf("%.2f%%", s.ServedPercent), fmt.Sprint(s.Refused),
			fmt.Sprint(s.RefusedWithinRate), fmt.Sprint(s.Unknown), fmt.Sprint(s.Errors), fmt.Sprint(s.Unsent),
			formatMillis(s.Latency.P50), formatMillis(s.Latency.P99), formatMillis(s.Latency.P999), formatMillis(s.Latency.Max), strings.Join(codes, " "),
		})
	}
	if r.WorstServed != "" {
		rows = append(rows, []string{fmt.Sprintf("worst served: %s, %.2f%%", r.WorstServed, r.WorstServedPercent)})
	}
	return append(rows, []string{fmt.Sprintf("seed %d, %.1f s", r.Seed, r.ElapsedSeconds)})
}

func formatMillis(v float64) string { return fmt.Sprintf("%.1fms", v) }
