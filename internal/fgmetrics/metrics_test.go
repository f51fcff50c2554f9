package fgmetrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
)

func scrape(m *Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// Guards against requests that are counted under the wrong labels, refusals that
// are included in the latency, and refusals within the rate that are not counted.
func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		answered := m.Begin()
		time.Sleep(30 * time.Millisecond)
		answered.End("catalogue", "committee", OutcomeAnswered, nil)
		m.Begin().End("catalogue", "committee", "", fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoCapacity, ""))
		m.Begin().End("catalogue", "committee", "", fgproblem.New(http.StatusTooManyRequests, fgproblem.CodeRateExceeded, ""))
		m.Begin().End("orders", "committee", "", fgproblem.New(http.StatusBadGateway, fgproblem.CodeNoCapacity, "").WithOutcome(fgproblem.Unknown))
		m.Begin()
		m.RefusedWithinRate("committee")
		m.SetHeadroom("catalogue", 3, 5)
		m.DrainEnded("VM", 2*time.Second)
		m.SetGeneration(9)
		text := scrape(m)
		for _, want := range []string{
			`filbertgap_requests_total{code="",outcome="answered",route="catalogue"} 1`,
			`filbertgap_requests_total{code="no-capacity",outcome="not-run",route="catalogue"} 1`,
			`filbertgap_requests_total{code="no-capacity",outcome="unknown",route="orders"} 1`,
			`filbertgap_requests_total{code="key-in-url",outcome="not-run",route=""} 0`,
			`filbertgap_workspace_requests_total{outcome="not-run",workspace="committee"} 2`,
			`filbertgap_refused_within_rate_total{workspace="committee"} 2`,
			`filbertgap_request_seconds_bucket{route="catalogue",le="0.02"} 0`,
			`filbertgap_request_seconds_bucket{route="catalogue",le="0.05"} 1`,
			`filbertgap_request_seconds_count{route="catalogue"} 1`,
			`filbertgap_requests_in_flight 1`,
			`filbertgap_headroom_permits{group="catalogue"} 3`,
			`filbertgap_permits{group="catalogue"} 5`,
			`filbertgap_drain_seconds_bucket{target="VM",le="1"} 0`,
			`filbertgap_drain_seconds_bucket{target="VM",le="3"} 1`,
			`filbertgap_configuration_generation 9`,
		} {
			if !strings.Contains(text, want+"\n") {
				t.Errorf("missing: %s", want)
			}
		}
	})
}

// Guards against a registry that is shared by several entries in one process, as
// the dev command runs them.
func TestRegistriesAreSeparate(t *testing.T) {
	a, b := New(), New()
	a.SetGeneration(1)
	if !strings.Contains(scrape(b), "filbertgap_configuration_generation 0\n") {
		t.Error("the generation of one Metrics shows in another")
	}
}
