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

	"github.com/filbertgap/filbertgap/internal/transport/fgconn"
	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

// ErrNotLoopback means that the run would connect to an address that is not a
// loopback address.
var ErrNotLoopback = merry.Sentinel("the address is not a loopback address; --allow-remote permits it")

const (
	connectTimeout      = 5 * time.Second
	maxIdleConnsPerHost = 512
	// maxProblemBytes bounds how much of a refusal is read.
	maxProblemBytes = 64 << 10
)

// Doer sends HTTP requests. fgclient.Client implements it.
type Doer interface {
	Do(*http.Request) (*http.Response, error)
}

// Options configures a run.
type Options struct {
	// MaxInFlight is the maximum number of concurrent requests. A request beyond
	// it is sent late; its latency still counts from its scheduled time.
	MaxInFlight int
	// Timeout bounds one request, counted from its scheduled time.
	Timeout time.Duration
	// Callers holds the clients of each workspace, by workspace name.
	Callers map[string][]Doer
}

// NewCallers returns the clients of the mix's workspaces, by workspace name. The
// clients start at different entries, so that their first look-ups are spread
// over them. Unless allowRemote is set, only loopback addresses are permitted.
func NewCallers(m *Mix, entries []string, allowRemote bool) (map[string][]Doer, error) {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if !allowRemote {
		// A look-up response may name an address that is not among the entries, so
		// the dialer checks each address, too.
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
	transport := fgconn.NewTransport(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true})
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
		return fmt.Errorf("%s: %w", address, ErrNotLoopback)
	}
	return nil
}

// runner sends the requests of one schedule.
type runner struct {
	options  Options
	arrivals []Arrival
	report   *Report
	start    time.Time
	// next is the index of the next arrival to send.
	next atomic.Int64
	// body is as long as the longest body of the schedule.
	body []byte
	// callerCounters maps a workspace to an *atomic.Int64, which selects its
	// callers round-robin.
	callerCounters sync.Map
}

// Run sends the requests of a schedule and returns the report. Requests that
// were not sent when the context ends, or when the last request times out, count
// as unsent.
func Run(ctx context.Context, m *Mix, arrivals []Arrival, o Options) *Report {
	r := &runner{options: o, arrivals: arrivals, report: newReport(m), start: time.Now()}
	longestBody, lastAt := 0, time.Duration(0)
	for _, a := range arrivals {
		longestBody, lastAt = max(longestBody, a.BodyBytes), max(lastAt, a.at())
	}
	r.body = bytes.Repeat([]byte{'x'}, longestBody)
	ctx, cancel := context.WithDeadline(ctx, r.start.Add(lastAt+o.Timeout))
	defer cancel()
	var wg conc.WaitGroup
	for range min(o.MaxInFlight, len(arrivals)) {
		wg.Go(func() { r.sendArrivals(ctx) })
	}
	wg.Wait()
	r.report.finish(time.Since(r.start))
	return r.report
}

// sendArrivals takes one arrival at a time, waits for its scheduled time and sends
// it, until none is left.
func (r *runner) sendArrivals(ctx context.Context) {
	for {
		i := r.next.Add(1) - 1
		if i >= int64(len(r.arrivals)) {
			return
		}
		a := r.arrivals[i]
		scheduled := r.start.Add(a.at())
		if !waitUntil(ctx, scheduled) {
			r.report.add(a, measurement{result: resultUnsent, latency: time.Since(scheduled)})
			continue
		}
		lag := time.Since(scheduled)
		m := r.send(ctx, a, scheduled)
		m.lag = lag
		m.latency = time.Since(scheduled)
		r.report.add(a, m)
	}
}

// waitUntil reports whether the time came before the context ended.
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

func (r *runner) send(ctx context.Context, a Arrival, scheduled time.Time) measurement {
	ctx, cancel := context.WithDeadline(ctx, scheduled.Add(r.options.Timeout))
	defer cancel()
	var body io.Reader
	if a.BodyBytes > 0 {
		body = bytes.NewReader(r.body[:a.BodyBytes])
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://entry"+a.Path, body)
	if err != nil {
		return measurement{result: resultError}
	}
	callers := r.options.Callers[a.Workspace]
	counter, _ := r.callerCounters.LoadOrStore(a.Workspace, new(atomic.Int64))
	n := counter.(*atomic.Int64).Add(1)
	res, err := callers[int(n)%len(callers)].Do(req)
	if err != nil {
		return measurement{result: resultError}
	}
	defer func() { _ = res.Body.Close() }()
	return classify(res)
}

// classify reads the response to its end, since a truncated one is an error.
func classify(res *http.Response) measurement {
	if strings.HasPrefix(res.Header.Get("Content-Type"), "application/problem+json") {
		var p struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		}
		if err := json.NewDecoder(io.LimitReader(res.Body, maxProblemBytes)).Decode(&p); err != nil || p.Code == "" {
			return measurement{result: resultError}
		}
		if p.Outcome == "not-run" {
			return measurement{result: resultRefused, code: p.Code}
		}
		return measurement{result: resultUnknown, code: p.Code}
	}
	_, err := io.Copy(io.Discard, res.Body)
	if err != nil && !errors.Is(err, io.EOF) || res.StatusCode >= http.StatusInternalServerError {
		return measurement{result: resultError}
	}
	return measurement{result: resultAnswered}
}
