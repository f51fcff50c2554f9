package fgload

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func testMix(t *testing.T, text string) *Mix {
	t.Helper()
	file := filepath.Join(t.TempDir(), "mix.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	m, err := ReadMix(file)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

const steadyMix = `
seed: 7
duration: 2s
arrivals: uniform
workspaces:
  - name: a
    rate: 100
    limit: {requestsPerSecond: 50, burst: 1}
    requests: [{path: /x}]
`

type doerFunc func(*http.Request) (*http.Response, error)

func (f doerFunc) Do(r *http.Request) (*http.Response, error) { return f(r) }

func response(status int, contentType, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{"Content-Type": {contentType}}, Body: io.NopCloser(strings.NewReader(body))}
}

// Guards against coordinated omission: a stall that does not show in the
// latencies because no requests are sent while it lasts.
func TestStallShowsInLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testMix(t, steadyMix)
		arrivals, err := m.Schedule()
		if err != nil {
			t.Fatal(err)
		}
		var once sync.Once
		stalling := doerFunc(func(*http.Request) (*http.Response, error) {
			once.Do(func() { time.Sleep(time.Second) })
			return response(http.StatusOK, "", "fine"), nil
		})
		r := Run(t.Context(), m, arrivals, Options{MaxInFlight: 1, Timeout: 5 * time.Second, Callers: map[string][]Doer{"a": {stalling}}})
		// Half of the requests are scheduled during the stall, at equal intervals.
		if r.Total.Answered != 199 || r.Total.Latency.P50 > 20 || r.Total.Latency.P90 < 790 || r.Total.Latency.Max < 999 {
			t.Errorf("answered %d, latency %+v", r.Total.Answered, r.Total.Latency)
		}
		if r.Total.LagP99Millis < 950 {
			t.Errorf("lag is %v ms", r.Total.LagP99Millis)
		}
	})
}

// Guards against a run that does not end when no request is answered, and
// against requests that are missing from the counts.
func TestRunEndsWithoutResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testMix(t, steadyMix)
		arrivals, _ := m.Schedule()
		silent := doerFunc(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		start := time.Now()
		r := Run(t.Context(), m, arrivals, Options{MaxInFlight: 3, Timeout: time.Second, Callers: map[string][]Doer{"a": {silent}}})
		if d := time.Since(start); d > 3*time.Second {
			t.Errorf("ended after %s", d)
		}
		s := r.Total
		if s.Offered != len(arrivals) || s.Errors+s.Unsent != s.Offered || s.Latency.P50 < 999 || r.WorstServedPercent != 0 {
			t.Errorf("summary is %+v", s)
		}
	})
}

// Guards against refusals that count as within the rate although the workspace
// exceeded its limit, and the reverse.
func TestRefusedWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testMix(t, steadyMix)
		arrivals, _ := m.Schedule()
		n := 0
		refusing := doerFunc(func(*http.Request) (*http.Response, error) {
			n++
			switch {
			case n%4 == 0:
				return response(http.StatusServiceUnavailable, "application/problem+json", `{"code":"no-capacity","outcome":"not-run"}`), nil
			case n == 1:
				return response(http.StatusBadGateway, "application/problem+json", `{"code":"upstream-lost","outcome":"unknown"}`), nil
			case n == 2:
				return response(http.StatusInternalServerError, "", ""), nil
			case n == 3:
				return nil, errors.New("broken")
			default:
				return response(http.StatusNotFound, "", "not a refusal"), nil
			}
		})
		r := Run(t.Context(), m, arrivals, Options{MaxInFlight: 1, Timeout: time.Second, Callers: map[string][]Doer{"a": {refusing}}})
		s := r.Total
		within := 0
		for i, a := range arrivals {
			if (i+1)%4 == 0 && a.withinRate {
				within++
			}
		}
		if s.WithinRate < 99 || s.WithinRate > 101 {
			t.Errorf("%d of %d requests are within the limit, which is half of the rate", s.WithinRate, s.Offered)
		}
		if s.Refused != 49 || s.RefusedWithinRate != within || s.Unknown != 1 || s.Errors != 2 || s.Codes["no-capacity"] != 49 {
			t.Errorf("summary is %+v, want %d refused within the rate", s, within)
		}
	})
}

// Guards against a schedule that differs between runs with the same seed, and a
// trace that does not read back as the recorded schedule.
func TestScheduleIsReproducible(t *testing.T) {
	text := strings.Replace(steadyMix, "uniform", "poisson", 1) + "  - {name: b, rate: 30, requests: [{path: /y, weight: 3}, {path: /z, method: POST, bodyBytes: 9}]}\n"
	m := testMix(t, text)
	first, _ := m.Schedule()
	second, _ := testMix(t, text).Schedule()
	if len(first) < 200 || len(first) > 320 || !reflect.DeepEqual(first, second) {
		t.Errorf("seed %d: schedules of %d and %d requests differ", m.Seed, len(first), len(second))
	}
	var trace bytes.Buffer
	if err := WriteTrace(&trace, first); err != nil {
		t.Fatal(err)
	}
	replayed, err := m.ReadTrace("t", &trace)
	if err != nil || !reflect.DeepEqual(first, replayed) {
		t.Errorf("the trace differs from the schedule, error %v", err)
	}
}

// Guards against accepting invalid mixes and traces, schedules above the bounds of
// a run, or remote addresses.
func TestInvalidInput(t *testing.T) {
	m := &Mix{Duration: "1h", Arrivals: "often", Workspaces: []WorkspaceLoad{{Rate: -1, Limit: &RateLimit{}, Requests: []RequestKind{{Path: "x"}}}}}
	want := `duration is "1h"; accepted is a duration up to 10m0s, for example 10s
arrivals is "often"; accepted are poisson and uniform
workspaces[0].name is ""; accepted is a name that is used once
workspaces[0].rate is -1; accepted is a number of requests per second from 0 to 100000
workspaces[0].limit is {0 0}; accepted is requestsPerSecond above 0 and burst of at least 1
workspaces[0].requests[0] is {Weight:1 Method:GET Path:x BodyBytes:0 Idempotent:false}; accepted is a path that begins with /, a weight of 0 or more and at most 16777216 body bytes`
	if err := m.check(); err == nil || err.Error() != want {
		t.Errorf("got:\n%v\nwant:\n%s", err, want)
	}
	big := testMix(t, strings.Replace(strings.Replace(steadyMix, "rate: 100", "rate: 100000", 1), "2s", "11s", 1))
	if _, err := big.Schedule(); err == nil {
		t.Error("a schedule of more than MaxRequests is accepted")
	}
	if _, err := big.ReadTrace("t", strings.NewReader(`{"workspace":"other"}`)); err == nil || !strings.HasPrefix(err.Error(), `t:1: workspace is "other"`) {
		t.Errorf("trace error is %v", err)
	}
	if _, err := NewCallers(big, []string{"http://192.0.2.1:80"}, false); !errors.Is(err, ErrNotLoopback) {
		t.Errorf("remote address: error is %v", err)
	}
}

// Guards against expectations that pass although the measured value violates
// them, and against accepting malformed expectations.
func TestExpectations(t *testing.T) {
	r := newReport(&Mix{Workspaces: []WorkspaceLoad{{Name: "a"}}})
	for range 100 {
		r.add(Arrival{Workspace: "a", withinRate: true}, measurement{result: resultAnswered, latency: 20 * time.Millisecond})
	}
	r.add(Arrival{Workspace: "a", withinRate: true}, measurement{result: resultRefused, code: "c"})
	r.finish(time.Second)
	tests := []struct{ text, checkError, parseError string }{
		{"p99<50ms", "", ""}, {"a:p99 <= 1s", "", ""}, {"refused-within-rate=1", "", ""}, {"worst-served>99%", "", ""},
		{"p50<20ms", "expected p50<20ms, measured 20.015ms", ""}, {"a:refused=0", "expected a:refused=0, measured 1", ""},
		{"b:errors=0", `expected b:errors=0: the mix has no workspace "b"`, ""},
		{"p99<50", "", `"50" is not a duration, for example 50ms`}, {"served>99", "", `"99" is not a number with the unit "%"`},
		{"speed>1", "", `"speed>1" names "speed"; accepted are p50, p90, p99, p99.9, max, answered, refused, refused-within-rate, unknown, errors, unsent, served, worst-served`},
		{"p99", "", `"p99"; accepted is [WORKSPACE:]METRIC, one of < <= > >= =, and a value, for example p99<50ms`},
	}
	for _, tt := range tests {
		e, err := ParseExpectation(tt.text)
		if err == nil {
			if err := e.Check(r); (err != nil || tt.checkError != "") && (err == nil || err.Error() != tt.checkError) {
				t.Errorf("%s: %v, want %q", tt.text, err, tt.checkError)
			}
		} else if err.Error() != tt.parseError {
			t.Errorf("%s: %v, want %q", tt.text, err, tt.parseError)
		}
	}
}
