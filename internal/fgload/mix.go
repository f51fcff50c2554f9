// Package fgload is an open-loop load generator: it sends requests at scheduled
// times, whether or not earlier ones were answered, and measures results and
// latencies as callers see them.
package fgload

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Bounds of one run.
const (
	MaxRequests       = 1_000_000
	MaxDuration       = 10 * time.Minute
	maxTraceLineBytes = 64 << 10
	maxBodyBytes      = 16 << 20
	// maxRate is in requests per second and workspace.
	maxRate = 100_000
)

// Mix describes the requests that a run sends.
type Mix struct {
	Seed     uint64 `yaml:"seed"`
	Duration string `yaml:"duration"`
	// Arrivals is "poisson" or "uniform". Empty means "poisson".
	Arrivals   string          `yaml:"arrivals"`
	Workspaces []WorkspaceLoad `yaml:"workspaces"`

	duration time.Duration
}

// WorkspaceLoad describes the requests of one workspace.
type WorkspaceLoad struct {
	Name string `yaml:"name"`
	// KeyFile names a file with the workspace's key. A relative name is resolved
	// against the directory of the mix file.
	KeyFile string `yaml:"keyFile"`
	// Callers is the number of independent clients. Zero means 1.
	Callers int `yaml:"callers"`
	// Rate is the mean number of requests sent per second.
	Rate float64 `yaml:"rate"`
	// Limit is the rate and burst declared for the workspace. A refusal of a
	// request that Limit allows counts as refused within the rate. Without
	// Limit, every request counts as within the rate.
	Limit    *RateLimit    `yaml:"limit"`
	Requests []RequestKind `yaml:"requests"`

	key string
}

// RateLimit is the rate and burst declared for a workspace.
type RateLimit struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
	Burst             float64 `yaml:"burst"`
}

// RequestKind describes one type of request of a workspace.
type RequestKind struct {
	// Weight is relative to the weights of the workspace's other requests. Zero
	// means 1.
	Weight    int    `yaml:"weight"`
	Method    string `yaml:"method"`
	Path      string `yaml:"path"`
	BodyBytes int    `yaml:"bodyBytes"`
	// Idempotent means that the route accepts duplicates. It is copied to the
	// trace and does not change how the request is sent.
	Idempotent bool `yaml:"idempotent"`
}

// Arrival is one request of a schedule. A trace holds one Arrival per line.
type Arrival struct {
	AtMicros   int64  `json:"atMicros"`
	Workspace  string `json:"workspace"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyBytes  int    `json:"bodyBytes,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`

	// withinRate reports whether the workspace's declared limit allows the request.
	withinRate bool
}

// at returns the scheduled time, counted from the start of the run.
func (a Arrival) at() time.Duration { return time.Duration(a.AtMicros) * time.Microsecond }

// ReadMix reads a mix file and the key files that it names.
func ReadMix(file string) (*Mix, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var m Mix
	if err := yaml.UnmarshalWithOptions(data, &m, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%s: %s", file, yaml.FormatError(err, false, false))
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for i := range m.Workspaces {
		w := &m.Workspaces[i]
		if w.KeyFile == "" {
			continue
		}
		name := w.KeyFile
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(file), name)
		}
		key, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("%s: workspace %s: keyFile: %w", file, w.Name, err)
		}
		w.key = strings.TrimSpace(string(key))
	}
	return &m, nil
}

func (m *Mix) check() error {
	var errs []error
	d, err := time.ParseDuration(m.Duration)
	if err != nil || d <= 0 || d > MaxDuration {
		errs = append(errs, fmt.Errorf("duration is %q; accepted is a duration up to %s, for example 10s", m.Duration, MaxDuration))
	}
	m.duration = d
	if m.Arrivals == "" {
		m.Arrivals = "poisson"
	}
	if m.Arrivals != "poisson" && m.Arrivals != "uniform" {
		errs = append(errs, fmt.Errorf("arrivals is %q; accepted are poisson and uniform", m.Arrivals))
	}
	if len(m.Workspaces) == 0 {
		errs = append(errs, errors.New("workspaces is empty; accepted is at least one"))
	}
	for i := range m.Workspaces {
		errs = append(errs, m.Workspaces[i].check(i, m.Workspaces[:i]))
	}
	return errors.Join(errs...)
}

func (w *WorkspaceLoad) check(index int, earlier []WorkspaceLoad) error {
	var errs []error
	add := func(field string, value any, accepted string) {
		errs = append(errs, fmt.Errorf("workspaces[%d].%s is %v; accepted is %s", index, field, value, accepted))
	}
	if w.Name == "" || slices.ContainsFunc(earlier, func(e WorkspaceLoad) bool { return e.Name == w.Name }) {
		add("name", fmt.Sprintf("%q", w.Name), "a name that is used once")
	}
	w.Callers = max(w.Callers, 1)
	if !(w.Rate >= 0 && w.Rate <= maxRate) {
		add("rate", w.Rate, fmt.Sprintf("a number of requests per second from 0 to %d", maxRate))
	}
	if w.Limit != nil && !(w.Limit.RequestsPerSecond > 0 && w.Limit.Burst >= 1) {
		add("limit", *w.Limit, "requestsPerSecond above 0 and burst of at least 1")
	}
	if w.Rate > 0 && len(w.Requests) == 0 {
		add("requests", "empty", "at least one request")
	}
	for i := range w.Requests {
		r := &w.Requests[i]
		if r.Weight == 0 {
			r.Weight = 1
		}
		if r.Method == "" {
			r.Method = http.MethodGet
		}
		if r.Weight < 0 || !strings.HasPrefix(r.Path, "/") || r.BodyBytes < 0 || r.BodyBytes > maxBodyBytes {
			add(fmt.Sprintf("requests[%d]", i), fmt.Sprintf("%+v", *r), fmt.Sprintf("a path that begins with /, a weight of 0 or more and at most %d body bytes", maxBodyBytes))
		}
	}
	return errors.Join(errs...)
}

// Schedule returns the arrivals of the mix in order of time. The same seed gives
// the same schedule. Each workspace has its own random sequence, so changing one
// workspace does not change the arrivals of the others.
func (m *Mix) Schedule() ([]Arrival, error) {
	var out []Arrival
	for i, w := range m.Workspaces {
		if w.Rate == 0 {
			continue
		}
		random := rand.New(rand.NewPCG(m.Seed, uint64(i)))
		for at := m.nextInterval(random, w.Rate); at < m.duration; at += m.nextInterval(random, w.Rate) {
			r := w.pickRequest(random)
			out = append(out, Arrival{AtMicros: at.Microseconds(), Workspace: w.Name, Method: r.Method, Path: r.Path, BodyBytes: r.BodyBytes, Idempotent: r.Idempotent})
			if len(out) > MaxRequests {
				return nil, fmt.Errorf("the mix has more than %d requests", MaxRequests)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.AtMicros - b.AtMicros) })
	m.markWithinRate(out)
	return out, nil
}

// nextInterval returns the time between two arrivals of a workspace: constant for
// uniform arrivals, exponentially distributed for poisson.
func (m *Mix) nextInterval(random *rand.Rand, rate float64) time.Duration {
	seconds := 1 / rate
	if m.Arrivals == "poisson" {
		seconds *= random.ExpFloat64()
	}
	return time.Duration(seconds * float64(time.Second))
}

// pickRequest chooses a request at random in proportion to the weights.
func (w *WorkspaceLoad) pickRequest(random *rand.Rand) RequestKind {
	total := 0
	for _, r := range w.Requests {
		total += r.Weight
	}
	n := random.IntN(max(total, 1))
	for _, r := range w.Requests {
		if n -= r.Weight; n < 0 {
			return r
		}
	}
	return w.Requests[len(w.Requests)-1]
}

// markWithinRate sets withinRate by a token bucket per workspace, at the scheduled
// times. The arrivals must be in order of time.
func (m *Mix) markWithinRate(arrivals []Arrival) {
	type bucket struct {
		limit  *RateLimit
		tokens float64
		last   time.Duration
	}
	buckets := map[string]*bucket{}
	for _, w := range m.Workspaces {
		b := &bucket{limit: w.Limit}
		if w.Limit != nil {
			b.tokens = w.Limit.Burst
		}
		buckets[w.Name] = b
	}
	for i := range arrivals {
		a := &arrivals[i]
		b := buckets[a.Workspace]
		if b == nil || b.limit == nil {
			a.withinRate = true
			continue
		}
		b.tokens = min(b.limit.Burst, b.tokens+(a.at()-b.last).Seconds()*b.limit.RequestsPerSecond)
		b.last = a.at()
		if b.tokens >= 1 {
			b.tokens--
			a.withinRate = true
		}
	}
}

// ReadTrace reads a schedule of JSON lines that WriteTrace recorded; name is used
// in errors. Every workspace must be in the mix, which has its key and limit.
func (m *Mix) ReadTrace(name string, r io.Reader) ([]Arrival, error) {
	var out []Arrival
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxTraceLineBytes)
	for n := 1; lines.Scan(); n++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var a Arrival
		d := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, n, err)
		}
		if err := m.checkArrival(a); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, n, err)
		}
		if len(out) == MaxRequests {
			return nil, fmt.Errorf("%s has more than %d requests", name, MaxRequests)
		}
		out = append(out, a)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.AtMicros - b.AtMicros) })
	m.markWithinRate(out)
	return out, nil
}

func (m *Mix) checkArrival(a Arrival) error {
	switch {
	case !slices.ContainsFunc(m.Workspaces, func(w WorkspaceLoad) bool { return w.Name == a.Workspace }):
		return fmt.Errorf("workspace is %q; accepted is one of the mix", a.Workspace)
	case a.AtMicros < 0 || a.at() > MaxDuration:
		return fmt.Errorf("atMicros is %d; accepted is 0 to %d", a.AtMicros, MaxDuration.Microseconds())
	case a.Method == "" || !strings.HasPrefix(a.Path, "/"):
		return fmt.Errorf("method and path are %q and %q; accepted is a method, and a path that begins with /", a.Method, a.Path)
	case a.BodyBytes < 0 || a.BodyBytes > maxBodyBytes:
		return fmt.Errorf("bodyBytes is %d; accepted is 0 to %d", a.BodyBytes, maxBodyBytes)
	default:
		return nil
	}
}

// WriteTrace writes a schedule as JSON lines.
func WriteTrace(w io.Writer, arrivals []Arrival) error {
	e := json.NewEncoder(w)
	for _, a := range arrivals {
		if err := e.Encode(a); err != nil {
			return err
		}
	}
	return nil
}
