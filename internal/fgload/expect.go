package fgload

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Expectation is a condition that the report of a run must meet, for example
// "p99<50ms".
type Expectation struct {
	text      string
	workspace string
	metric    string
	operator  string
	value     float64
}

var expectationPattern = regexp.MustCompile(`^(?:([a-z0-9.-]+):)?([a-z0-9.-]+)(<=|>=|<|>|=)([0-9.]+)(%|[a-zµ]+)?$`)

// metrics lists the values that an expectation can name, with their units.
var metrics = []struct {
	name  string
	unit  string
	value func(*Report, *Summary) float64
}{
	{"p50", "ms", func(_ *Report, s *Summary) float64 { return s.Latency.P50 }},
	{"p90", "ms", func(_ *Report, s *Summary) float64 { return s.Latency.P90 }},
	{"p99", "ms", func(_ *Report, s *Summary) float64 { return s.Latency.P99 }},
	{"p99.9", "ms", func(_ *Report, s *Summary) float64 { return s.Latency.P999 }},
	{"max", "ms", func(_ *Report, s *Summary) float64 { return s.Latency.Max }},
	{"answered", "", func(_ *Report, s *Summary) float64 { return float64(s.Answered) }},
	{"refused", "", func(_ *Report, s *Summary) float64 { return float64(s.Refused) }},
	{"refused-within-rate", "", func(_ *Report, s *Summary) float64 { return float64(s.RefusedWithinRate) }},
	{"unknown", "", func(_ *Report, s *Summary) float64 { return float64(s.Unknown) }},
	{"errors", "", func(_ *Report, s *Summary) float64 { return float64(s.Errors) }},
	{"unsent", "", func(_ *Report, s *Summary) float64 { return float64(s.Unsent) }},
	{"served", "%", func(_ *Report, s *Summary) float64 { return s.ServedPercent }},
	{"worst-served", "%", func(r *Report, _ *Summary) float64 { return r.WorstServedPercent }},
}

// ParseExpectation parses [WORKSPACE:]METRIC OPERATOR VALUE. Spaces are ignored.
// Without a workspace, the expectation applies to the total of all workspaces.
func ParseExpectation(text string) (Expectation, error) {
	m := expectationPattern.FindStringSubmatch(strings.ReplaceAll(text, " ", ""))
	if m == nil {
		return Expectation{}, fmt.Errorf("%q; accepted is [WORKSPACE:]METRIC, one of < <= > >= =, and a value, for example p99<50ms", text)
	}
	e := Expectation{text: text, workspace: m[1], metric: m[2], operator: m[3]}
	var names []string
	for _, metric := range metrics {
		names = append(names, metric.name)
		if metric.name != e.metric {
			continue
		}
		value, err := parseValue(m[4], m[5], metric.unit)
		e.value = value
		return e, err
	}
	return Expectation{}, fmt.Errorf("%q names %q; accepted are %s", text, e.metric, strings.Join(names, ", "))
}

// parseValue converts durations to milliseconds; other values must have the
// wanted unit.
func parseValue(number, unit, want string) (float64, error) {
	if want == "ms" {
		d, err := time.ParseDuration(number + unit)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration, for example 50ms", number+unit)
		}
		return float64(d) / float64(time.Millisecond), nil
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil || unit != want {
		return 0, fmt.Errorf("%q is not a number with the unit %q", number+unit, want)
	}
	return v, nil
}

// Check returns an error with the measured value if the expectation does not
// hold.
func (e Expectation) Check(r *Report) error {
	s := r.Total
	if e.workspace != "" {
		if s = r.byName[e.workspace]; s == nil {
			return fmt.Errorf("expected %s: the mix has no workspace %q", e.text, e.workspace)
		}
	}
	for _, metric := range metrics {
		if metric.name != e.metric {
			continue
		}
		got := metric.value(r, s)
		if !compare(got, e.operator, e.value) {
			return fmt.Errorf("expected %s, measured %s%s", e.text, strconv.FormatFloat(got, 'f', -1, 64), metric.unit)
		}
	}
	return nil
}

func compare(a float64, operator string, b float64) bool {
	switch operator {
	case "<":
		return a < b
	case "<=":
		return a <= b
	case ">":
		return a > b
	case ">=":
		return a >= b
	default:
		return a == b
	}
}
