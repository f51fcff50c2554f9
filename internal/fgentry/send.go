package fgentry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
	"github.com/filbertgap/filbertgap/internal/transport/fgupstream"
)

const (
	// maxSends bounds how often a request is sent.
	maxSends = 2
	// maxUnreachedTargets bounds how many unreachable targets are skipped. They
	// received nothing and do not count as sends: with 2 of 3 upstreams dead, a
	// request could otherwise be refused although the third is healthy.
	maxUnreachedTargets = 3
	// maxIsolationWait bounds how long a request is deferred because a suspect
	// must run isolated.
	maxIsolationWait = 2 * time.Second
	// isolationPollInterval separates placements of a deferred request while no
	// change of the suspects is signalled.
	isolationPollInterval = 250 * time.Millisecond
	// maxAdmissionAge is how old a rate-limit token may be when its request is
	// sent. An older one means that the process was paused or that the request
	// was queued.
	maxAdmissionAge = 100 * time.Millisecond
	// shedRetryAfter is the Retry-After of refusals for lack of capacity or of
	// a reachable upstream.
	shedRetryAfter = time.Second
)

// sendResult is how one send of a request ended.
type sendResult struct {
	result result
	// targetNames are the target's names for placeOptions.exclude.
	targetNames []string
	// deferred means that nothing was sent, because a suspect must run
	// isolated.
	deferred bool
	// identicalRunning means that the call is a suspect and that an identical
	// request is running.
	identicalRunning bool
	err              error
}

// admitAndSend admits a call, places it and sends it to its target.
func (e *Entry) admitAndSend(w http.ResponseWriter, r *http.Request, c *call) error {
	if c.hop != hopPlacement {
		if err := e.admitWorkspace(r.Context(), c); err != nil {
			return refusalBeforeSending(r.Context(), err)
		}
	}
	c.admittedAt = time.Now()
	return e.sendWithRetries(w, r, c)
}

// sendWithRetries sends an admitted call and retries it where that is safe.
func (e *Entry) sendWithRetries(w http.ResponseWriter, r *http.Request, c *call) error {
	failedTargets := map[string]bool{}
	var last error
	for sent, unreached := 0, 0; ; {
		s, err := e.sendOrWait(w, r, c, failedTargets)
		switch {
		case err != nil && last != nil:
			return last
		case err != nil:
			return err
		case s.err == nil:
			return nil
		}
		if s.result == resultUnreached {
			unreached++
		} else {
			sent++
		}
		last = mergeRefusals(last, s.err)
		if sent >= maxSends || unreached > maxUnreachedTargets || !e.mayRetry(r.Context(), c, s.result) {
			return last
		}
		for _, name := range s.targetNames {
			failedTargets[name] = true
		}
	}
}

// sendOrWait sends a call once. If a target cannot take the call because a
// suspect must run isolated, it chooses another one. If none is left, it waits
// for a change.
func (e *Entry) sendOrWait(w http.ResponseWriter, r *http.Request, c *call, failedTargets map[string]bool) (sendResult, error) {
	ctx, cancel := context.WithTimeout(r.Context(), maxIsolationWait)
	defer cancel()
	exclude := maps.Clone(failedTargets)
	var deferred error
	for {
		changed := e.suspects.Changed()
		s, err := e.placeAndSend(w, r, c, exclude)
		if !s.deferred && (err == nil || deferred == nil) {
			return s, err
		}
		if s.deferred {
			deferred = s.err
		}
		if s.deferred && !s.identicalRunning {
			for _, name := range s.targetNames {
				exclude[name] = true
			}
			continue
		}
		e.logger.V(1).Info("request waits until a request suspected of crashing upstreams has ended", "requestId", c.id)
		select {
		case <-changed:
			exclude = maps.Clone(failedTargets)
		case <-time.After(isolationPollInterval):
			exclude = maps.Clone(failedTargets)
		case <-ctx.Done():
			return sendResult{}, deferred
		}
	}
}

// mergeRefusals returns the refusal after a further send. If an earlier send
// may have run the request, the earlier outcome is kept, even if the last send
// certainly did not run it.
func mergeRefusals(earlier, err error) error {
	var before, now *fgproblem.Problem
	if !errors.As(earlier, &before) || !errors.As(err, &now) || before.Outcome() == fgproblem.NotRun {
		return err
	}
	return now.WithOutcome(before.Outcome())
}

// mayRetry reports whether a call may be sent again.
func (e *Entry) mayRetry(ctx context.Context, c *call, last result) bool {
	if ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	switch last {
	case resultShed, resultDraining, resultUnreached:
	case resultLost:
		if c.nonIdempotent {
			return false
		}
	default:
		return false
	}
	return e.allowRetry()
}

func (e *Entry) placeAndSend(w http.ResponseWriter, r *http.Request, c *call, exclude map[string]bool) (sendResult, error) {
	status := e.suspects.Status(c.fingerprint)
	if status == fgsuspect.Blocked {
		return sendResult{}, crashesUpstreams()
	}
	if status == fgsuspect.Suspect {
		if owner, ok := e.suspectOwner(c); ok {
			return e.sendToSuspectOwner(w, r, c, owner, exclude)
		}
	}
	if status == fgsuspect.Suspect && e.suspects.Running(c.fingerprint) {
		// When that request ends, it may clear the suspicion, and so this call.
		return sendResult{deferred: true, identicalRunning: true, err: suspectInProgress()}, nil
	}
	t, err := e.place(r.Context(), c, placeOptions{
		localOnly: c.hop == hopPlacement, exclude: exclude, isolated: status == fgsuspect.Suspect,
	})
	if err != nil {
		return sendResult{}, refusalBeforeSending(r.Context(), err)
	}
	switch t := t.(type) {
	case localTarget:
		return e.sendLocal(w, r, c, t, status == fgsuspect.Suspect), nil
	case peerTarget:
		if c.hop == hopPlacement {
			// A peer has already placed the request once. It is not forwarded
			// again, so that it cannot loop.
			t.done(resultCancelled)
			return sendResult{}, noCapacity("no upstream of this region has capacity")
		}
		return e.sendPeer(w, r, c, t), nil
	default:
		return sendResult{}, fmt.Errorf("unknown target %T", t)
	}
}

// refusalBeforeSending converts an error that occurred before anything was sent
// into a refusal.
func refusalBeforeSending(ctx context.Context, err error) error {
	var p *fgproblem.Problem
	switch {
	case errors.As(err, &p):
		return p
	case ctx.Err() != nil:
		return deadlinePassed(ctx)
	default:
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoCapacity, err.Error())
	}
}

// deadlinePassed returns the refusal of a call whose context has ended.
func deadlinePassed(ctx context.Context) *fgproblem.Problem {
	if errors.Is(context.Cause(ctx), errKeyWithdrawn) {
		return fgproblem.New(http.StatusUnauthorized, fgproblem.CodeKeyInvalid, "the key was withdrawn or expired while the request was running")
	}
	if errors.Is(context.Cause(ctx), errStopped) {
		return fgproblem.New(http.StatusGatewayTimeout, fgproblem.CodeDeadline, "the process stopped before a response arrived")
	}
	return fgproblem.New(http.StatusGatewayTimeout, fgproblem.CodeDeadline, "the request's deadline passed, or its caller disconnected")
}

func crashesUpstreams() error {
	return fgproblem.New(http.StatusUnprocessableEntity, fgproblem.CodeCrashes, "two upstreams crashed while running this request").
		WithRetryAfter(fgsuspect.EntryLifetime)
}

func suspectInProgress() *fgproblem.Problem {
	return noCapacity("a request suspected of crashing upstreams is running, and no other may run beside it")
}

func noCapacity(detail string) *fgproblem.Problem {
	return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoCapacity, detail).WithRetryAfter(shedRetryAfter)
}

// readmit admits a call again if it was not sent soon after its admission,
// because the process was paused or the call was queued. The token is then too
// old, and the key may have been withdrawn.
func (e *Entry) readmit(ctx context.Context, c *call) error {
	limit := maxAdmissionAge
	if c.hop == hopPlacement {
		// The VM that forwarded the call has taken the workspace's token. The
		// longer limit allows for this VM's queue before a second token is
		// taken.
		limit += maxAdmissionAge
	}
	if fgtimer.Since(c.admittedAt) <= limit {
		return nil
	}
	if c.key != nil {
		if err := e.checkFreshness(); err != nil {
			return refusalBeforeSending(ctx, err)
		}
		now, ok := e.config.State().Key(c.key.ID())
		if !ok || now.Spec().Digest != c.key.Spec().Digest || expired(now) {
			return keyInvalid()
		}
	}
	if c.hop != hopPlacement {
		e.refundWorkspace(c)
	}
	if err := e.admitWorkspace(ctx, c); err != nil {
		return refusalBeforeSending(ctx, err)
	}
	c.admittedAt = time.Now()
	return nil
}

// outgoing returns the request to send to a target: without the hop-by-hop
// fields of the caller's connection and without the caller's key.
func (c *call) outgoing(r *http.Request) *http.Request {
	out := r.Clone(c.sendContext)
	out.Body, out.ContentLength = c.body.open(), c.body.length
	if c.body.length == 0 {
		out.Body = http.NoBody
	}
	fgkey.Scrub(out)
	out.Header.Del(headerIdempotencyKey)
	out.Header.Set(headerRequestID, c.id)
	out.Header.Set(headerWorkspace, c.workspace)
	if deadline, ok := c.sendContext.Deadline(); ok {
		out.Header.Set(headerTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	out.TransferEncoding, out.Trailer, out.Close = nil, nil, false
	return out
}

// sendLocal sends a call to an upstream and copies its response. suspect means that the
// call was placed as a suspect.
func (e *Entry) sendLocal(w http.ResponseWriter, r *http.Request, c *call, t localTarget, suspect bool) sendResult {
	s := sendResult{targetNames: []string{t.upstream.Name()}, result: resultCancelled}
	// A crashed upstream refuses connections, so it is reported to the placer
	// as unreachable. The request's own result stays resultLost, because it may
	// have run.
	crashed := false
	defer func() {
		if crashed {
			t.done(resultUnreached)
			return
		}
		t.done(s.result)
	}()
	run, err := e.suspects.Start(t.upstream.Name(), c.fingerprint, suspect)
	switch {
	case errors.Is(err, fgsuspect.ErrBusy), errors.Is(err, fgsuspect.ErrRunning):
		s.identicalRunning = errors.Is(err, fgsuspect.ErrRunning)
		s.deferred, s.err = true, suspectInProgress()
		return s
	case err != nil:
		s.err = crashesUpstreams()
		return s
	}
	defer func() { e.broadcastSuspects(run.Finish(s.result == resultAnswered || s.result == resultFailed)) }()
	if s.err = e.readmit(r.Context(), c); s.err != nil {
		return s
	}
	out := c.outgoing(r)
	if c.upstreamID != "" {
		out.Header.Set(fgupstream.HeaderRequestID, c.upstreamID)
	}
	res, outcome, cause := e.upstreams.RoundTrip(c.sendContext, t.upstream.Spec().Address, out)
	switch outcome {
	case fgupstream.Refused:
		s.result, s.err = resultOf(res), noCapacity("the upstream refused the request")
	case fgupstream.Answered:
		e.logDecision(c, destination{upstream: t.upstream.Name()}, outcomeRan, "placed-here")
		s.result, s.err = e.passResponse(w, c, res)
		if s.result == resultAnswered {
			s.result = resultOf(res)
		}
	default:
		s.result, s.err = e.refusalWithoutResponse(c, outcome, cause)
	}
	if s.result == resultLost {
		crashed = e.detectCrash(t.upstream, c.fingerprint)
	}
	return s
}

// refusalWithoutResponse returns the result and the refusal of a send that got
// no response.
func (e *Entry) refusalWithoutResponse(c *call, o fgupstream.Outcome, cause error) (result, error) {
	ended := c.sendContext.Err() != nil
	var p *fgproblem.Problem
	switch {
	case errors.As(cause, &p):
		// The body was refused while it was being sent.
		return resultCancelled, p
	case o == fgupstream.Refused:
		return resultShed, noCapacity("the upstream refused the request")
	case o == fgupstream.Unreached && ended:
		return resultCancelled, deadlinePassed(c.sendContext)
	case o == fgupstream.Unreached:
		return resultUnreached, fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeUpstreamLost, "the upstream cannot be reached").
			WithRetryAfter(shedRetryAfter)
	case ended:
		return resultCancelled, deadlinePassed(c.sendContext).WithOutcome(fgproblem.Unknown)
	default:
		e.logger.V(1).Info("connection to the target lost", "requestId", c.id, "error", cause.Error())
		return resultLost, fgproblem.New(http.StatusBadGateway, fgproblem.CodeUpstreamLost, "the connection broke before a response arrived").
			WithOutcome(fgproblem.Unknown)
	}
}

// passResponse copies a response to the caller.
func (e *Entry) passResponse(w http.ResponseWriter, c *call, res *http.Response) (result, error) {
	defer func() { _ = res.Body.Close() }()
	if c.fromRegion != "" && c.fromRegion != e.settings.raw.Region {
		res.Body = readCloser{Reader: e.pace(c.sendContext, e.settings.raw.Region, c.fromRegion, res.Body), Closer: res.Body}
	}
	err := copyResponse(w, res)
	switch {
	case err == nil:
		return resultAnswered, nil
	case c.sendContext.Err() != nil || errors.Is(err, errCallerDisconnected):
		return resultCancelled, err
	default:
		return resultLost, err
	}
}
