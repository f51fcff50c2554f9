package fggateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	// acceptAfterStop is how long a stopping gateway still accepts requests, since
	// callers use look-up responses for up to three times their time to live (TTL).
	acceptAfterStop = 3 * time.Second
	// stopMargin is the time between the last response and the platform's SIGKILL.
	stopMargin = 400 * time.Millisecond
	// stopResponseTime is the time in which the responses of requests that a stop ends
	// are written, before the last connections are closed.
	stopResponseTime = 100 * time.Millisecond
	// stopRetryAfter is the Retry-After value of requests that a stopping gateway refuses.
	// Other gateways take them at once.
	stopRetryAfter = 20 * time.Millisecond
)

// errStopped means that a stop has ended a request.
var errStopped = merry.Sentinel("the gateway stops")

// stopping is the planned stop of a gateway.
type stopping struct {
	// ended is done when the requests in flight must get their responses.
	ended context.Context
	end   context.CancelFunc
	// times is nil before the stop.
	times atomic.Pointer[stopTimes]
}

// stopTimes are the times of a stop.
type stopTimes struct {
	// acceptUntil is how long all requests are sent. Later, only those are whose deadline is
	// before endAt, when requests without a response are ended.
	acceptUntil, endAt time.Time
}

// stop shuts the gateway down gracefully: the VM is removed from look-ups, still
// serves callers that use an earlier look-up response, and closes each connection
// after its next response. Before the grace period ends, all requests in flight get a
// response.
func (g *Gateway) stop(servers *callerServers, stopAnnouncing func()) {
	start, grace := time.Now(), g.bounds.Load().Grace
	g.logger.Info("gateway stopping", "vm", g.settings.Self.VM, "grace", grace.String())
	accept, closeAt := min(acceptAfterStop, grace/2), start.Add(grace-stopMargin)
	times := &stopTimes{acceptUntil: start.Add(accept), endAt: closeAt.Add(-stopResponseTime)}
	g.stopping.times.Store(times)
	g.leaving.Store(true)
	g.admission.Stop()
	stopAnnouncing()
	timer := time.AfterFunc(time.Until(times.endAt), g.stopping.end)
	defer timer.Stop()
	_ = fgtimer.Wait(context.Background(), accept)
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	if err := servers.Shutdown(ctx); err != nil {
		g.logger.Info("requests still in flight at the end of the grace period", "error", err.Error())
		_ = servers.Close()
	}
}

// refuses reports whether a request must not be sent because of a stop: the stop has ended the
// requests in flight, or the request has not been sent yet, is late, and might get no response
// before that.
func (s *stopping) refuses(q *request) bool {
	t := s.times.Load()
	if t == nil {
		return false
	}
	now := time.Now()
	return !now.Before(t.endAt) || q.sends == 0 && now.After(t.acceptUntil) && q.deadline.After(t.endAt)
}

// stopRefusal returns the refusal for a request that a stop ends or does not send.
func (q *request) stopRefusal() *refusal {
	if q.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, code: codeStopped, reason: "the gateway stopped before a response arrived; the request may have run"}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: codeStopped, reason: "the gateway is stopping", retryAfter: stopRetryAfter}
}
