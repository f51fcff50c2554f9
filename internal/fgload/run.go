package fgload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

// ErrRemote means that a run would leave the loopback addresses.
var ErrRemote = merry.Sentinel("the address is not a loopback address; --allow-remote permits it")

const (
	connectTimeout = 5 * time.Second
	idlePerHost    = 512
	// maxProblemBytes bounds how much of a refusal is read.
	maxProblemBytes = 64 << 10
)

// Doer sends a request, as fgclient.Client does.
type Doer interface {
	Do(*http.Request) (*http.Response, error)
}

// Options configures a run.
type Options struct {
	// MaxInFlight is the number of requests that wait for answers at once. An
	// arrival beyond it is sent late, and its latency counts from the time
	// when it should have been sent.
	MaxInFlight int
	// Timeout bounds one request from its intended start.
	Timeout time.Duration
	// Callers returns the clients of a workspace.
	Callers map[string][]Doer
}

// Dial makes the clients of a mix's workspaces. Each caller asks another entry
// for its first look-up.
func Dial(m *Mix, entries []string, allowRemote bool) (map[string][]Doer, error) {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if !allowRemote {
		// Look-up answers may name other addresses than the entries given.
		dialer.Control = func(_, address string, _ syscall.RawConn) error { return checkLoopback(address) }
		for _, e := range entries {
			u, err := url.Parse(e)
			if err != nil {
				return nil, err
			}
			if u.Hostname() != "localhost" {
				if err := checkLoopback(net.JoinHostPort(u.Hostname(), "0")); err != nil {
					return nil, err
				}
			}
		}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}
	out := map[string][]Doer{}
	next := 0
	for _, w := range m.Workspaces {
		for range w.Callers {
			first := next % max(len(entries), 1)
			rotated := append(append([]string(nil), entries[first:]...), entries[:first]...)
			next++
			c, err := fgclient.NewClient(fgclient.ClientOptions{Addresses: rotated, Key: w.key, Transport: transport})
			if err != nil {
				return nil, err
			}
			out[w.Name] = append(out[w.Name], c)
		}
	}
	return out, nil
}

func checkLoopback(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("%s: %w", address, ErrRemote)
	}
	return nil
}

// runner offers the arrivals of one schedule.
type runner struct {
	options  Options
	arrivals []Arrival
	report   *Report
	start    time.Time
	next     atomic.Int64
	body     []byte
	turns    sync.Map
}

// Run offers a schedule and returns what was measured. Requests that have not
// begun when the context ends, or when the last one has timed out, are counted
// as unsent.
func Run(ctx context.Context, m *Mix, arrivals []Arrival, o Options) *Report {
	r := &runner{options: o, arrivals: arrivals, report: newReport(m), start: time.Now()}
	longest, last := 0, time.Duration(0)
	for _, a := range arrivals {
		longest, last = max(longest, a.BodyBytes), max(last, a.at())
	}
	r.body = bytes.Repeat([]byte{'x'}, longest)
	ctx, cancel := context.WithDeadline(ctx, r.start.Add(last+o.Timeout))
	defer cancel()
	var wg conc.WaitGroup
	for range min(o.MaxInFlight, len(arrivals)) {
		wg.Go(func() { r.work(ctx) })
	}
	wg.Wait()
	r.report.finish(time.Since(r.start))
	return r.report
}

// work takes the next arrival, waits for its time and sends it.
func (r *runner) work(ctx context.Context) {
	for {
		i := r.next.Add(1) - 1
		if i >= int64(len(r.arrivals)) {
			return
		}
		a := r.arrivals[i]
		intended := r.start.Add(a.at())
		if !waitUntil(ctx, intended) {
			r.report.add(a, measured{kind: kindUnsent, latency: time.Since(intended)})
			continue
		}
		lag := time.Since(intended)
		result := r.send(ctx, a, intended)
		result.lag = lag
		result.latency = time.Since(intended)
		r.report.add(a, result)
	}
}

func waitUntil(ctx context.Context, at time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (r *runner) send(ctx context.Context, a Arrival, intended time.Time) measured {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(r.options.Timeout))
	defer cancel()
	var body io.Reader
	if a.BodyBytes > 0 {
		body = bytes.NewReader(r.body[:a.BodyBytes])
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://entry"+a.Path, body)
	if err != nil {
		return measured{kind: kindError}
	}
	callers := r.options.Callers[a.Workspace]
	turn, _ := r.turns.LoadOrStore(a.Workspace, new(atomic.Int64))
	n := turn.(*atomic.Int64).Add(1)
	res, err := callers[int(n)%len(callers)].Do(req)
	if err != nil {
		return measured{kind: kindError}
	}
	defer func() { _ = res.Body.Close() }()
	return classify(res)
}

// classify reads the whole answer: a cut one is an error.
func classify(res *http.Response) measured {
	if strings.HasPrefix(res.Header.Get("Content-Type"), "application/problem+json") {
		var p struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		}
		if err := json.NewDecoder(io.LimitReader(res.Body, maxProblemBytes)).Decode(&p); err != nil || p.Code == "" {
			return measured{kind: kindError}
		}
		if p.Outcome == "not-run" {
			return measured{kind: kindRefused, code: p.Code}
		}
		return measured{kind: kindUnknown, code: p.Code}
	}
	_, err := io.Copy(io.Discard, res.Body)
	if err != nil && !errors.Is(err, io.EOF) || res.StatusCode >= http.StatusInternalServerError {
		return measured{kind: kindError}
	}
	return measured{kind: kindAnswered}
}
