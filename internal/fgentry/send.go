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
	"github.com/filbertgap/filbertgap/internal/transport/fgupstream"
)

const (
	// maxTries bounds how often a request is sent.
	maxTries = 2
	// maxUnreached bounds how many targets that cannot be reached are passed
	// over. They received nothing and do not count as tries: with 2 of 3
	// upstreams dead, a request could otherwise be refused beside a healthy one.
	maxUnreached = 3
	// maxAloneWait bounds how long a request waits because a suspect must run
	// alone.
	maxAloneWait = 2 * time.Second
	// aloneInterval separates attempts while nothing is heard of a change.
	aloneInterval = 250 * time.Millisecond
	// maxAdmissionAge is how old a token may be when its request is sent. An
	// older one means that the process was paused, or queued the request.
	maxAdmissionAge = 100 * time.Millisecond
	// shedRetryAfter is suggested when capacity is short.
	shedRetryAfter = time.Second
)

// attempt is how one try of a request ended.
type attempt struct {
	result result
	// names are the target's names for placeOptions.exclude.
	names []string
	// busy means that nothing was sent, because a suspect must run alone.
	busy bool
	// running means that the call is a suspect and an equal request runs now.
	running bool
	err     error
}

// run admits a call, places it and sends it to its target.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, c *call) error {
	if c.hop != hopPlace {
		if err := e.admitWorkspace(r.Context(), c); err != nil {
			return beforeSending(r.Context(), err)
		}
	}
	c.admittedAt = time.Now()
	return e.sendTries(w, r, c)
}

// sendTries sends an admitted call, again where that is safe.
func (e *Entry) sendTries(w http.ResponseWriter, r *http.Request, c *call) error {
	tried := map[string]bool{}
	var last error
	for sent, unreached := 0, 0; ; {
		a, err := e.sendAlone(w, r, c, tried)
		switch {
		case err != nil && last != nil:
			return last
		case err != nil:
			return err
		case a.err == nil:
			return nil
		}
		if a.result == resultUnreached {
			unreached++
		} else {
			sent++
		}
		last = afterTry(last, a.err)
		if sent >= maxTries || unreached > maxUnreached || !e.mayRetry(r.Context(), c, a.result) {
			return last
		}
		for _, name := range a.names {
			tried[name] = true
		}
	}
}

// sendAlone sends a call once. While a suspect must run alone, it tries the
// other targets, and then waits.
func (e *Entry) sendAlone(w http.ResponseWriter, r *http.Request, c *call, tried map[string]bool) (attempt, error) {
	ctx, cancel := context.WithTimeout(r.Context(), maxAloneWait)
	defer cancel()
	exclude := maps.Clone(tried)
	var busy error
	for {
		changed := e.suspects.Changed()
		a, err := e.placeAndSend(w, r, c, exclude)
		if !a.busy && (err == nil || busy == nil) {
			return a, err
		}
		if a.busy {
			busy = a.err
		}
		if a.busy && !a.running {
			for _, name := range a.names {
				exclude[name] = true
			}
			continue
		}
		e.logger.V(1).Info("request waits while a suspect runs alone", "requestId", c.id)
		select {
		case <-changed:
			exclude = maps.Clone(tried)
		case <-time.After(aloneInterval):
			exclude = maps.Clone(tried)
		case <-ctx.Done():
			return attempt{}, busy
		}
	}
}

// afterTry returns the refusal after one more try: when an earlier one may have
// run, a later not-run does not make the request not-run.
func afterTry(earlier, err error) error {
	var before, now *fgproblem.Problem
	if !errors.As(earlier, &before) || !errors.As(err, &now) || before.Outcome() == fgproblem.NotRun {
		return err
	}
	return now.WithOutcome(before.Outcome())
}

// mayRetry reports whether a call may be sent once more.
func (e *Entry) mayRetry(ctx context.Context, c *call, last result) bool {
	if ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	switch last {
	case resultShed, resultDraining, resultUnreached:
	case resultLost:
		if c.once {
			return false
		}
	default:
		return false
	}
	return e.allowRetry()
}

func (e *Entry) placeAndSend(w http.ResponseWriter, r *http.Request, c *call, exclude map[string]bool) (attempt, error) {
	status := e.suspects.Status(c.fingerprint)
	if status == fgsuspect.Blocked {
		return attempt{}, crashesUpstreams()
	}
	if status == fgsuspect.Suspect && c.hop != hopPlace {
		if owner, ok := e.suspectOwner(c); ok {
			return e.sendSuspect(w, r, c, owner, exclude)
		}
	}
	if status == fgsuspect.Suspect && e.suspects.Running(c.fingerprint) {
		// Its end may clear the suspicion, and this call with it.
		return attempt{busy: true, running: true, err: runsAlone()}, nil
	}
	t, err := e.place(r.Context(), c, placeOptions{
		localOnly: c.hop == hopPlace, exclude: exclude, alone: status == fgsuspect.Suspect,
	})
	if err != nil {
		return attempt{}, beforeSending(r.Context(), err)
	}
	switch t := t.(type) {
	case localTarget:
		return e.sendLocal(w, r, c, t), nil
	case peerTarget:
		if c.hop == hopPlace {
			// A request makes one place hop at most, so that it never circles.
			t.done(resultCancelled)
			return attempt{}, noCapacity("no upstream of this region has capacity")
		}
		return e.sendPeer(w, r, c, t), nil
	default:
		return attempt{}, fmt.Errorf("unknown target %T", t)
	}
}

// beforeSending makes an error that arose before anything was sent a refusal.
func beforeSending(ctx context.Context, err error) error {
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

// deadlinePassed refuses a call whose context has ended.
func deadlinePassed(ctx context.Context) *fgproblem.Problem {
	if errors.Is(context.Cause(ctx), errKeyWithdrawn) {
		return fgproblem.New(http.StatusUnauthorized, fgproblem.CodeKeyInvalid, "the key was withdrawn or has expired while the request ran")
	}
	return fgproblem.New(http.StatusGatewayTimeout, fgproblem.CodeDeadline, "the request's deadline passed, or its caller left")
}

func crashesUpstreams() error {
	return fgproblem.New(http.StatusUnprocessableEntity, fgproblem.CodeCrashes, "two upstreams crashed while they ran this request").
		WithRetryAfter(fgsuspect.EntryLifetime)
}

func runsAlone() *fgproblem.Problem {
	return noCapacity("a request that may crash upstreams runs alone")
}

func noCapacity(detail string) *fgproblem.Problem {
	return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoCapacity, detail).WithRetryAfter(shedRetryAfter)
}

// readmit guards against a process that was paused after it admitted a call:
// the token is then too old, and the key may have been withdrawn.
func (e *Entry) readmit(ctx context.Context, c *call) error {
	limit := maxAdmissionAge
	if c.hop == hopPlace {
		// The workspace's token was taken by the VM that forwarded the call. It
		// is replaced here only after more than the peer's queue may add.
		limit += maxAdmissionAge
	}
	if sinceEither(c.admittedAt) <= limit {
		return nil
	}
	if c.key != nil {
		if err := e.checkFresh(); err != nil {
			return beforeSending(ctx, err)
		}
		now, ok := e.config.State().Key(c.key.ID())
		if !ok || now.Spec().Digest != c.key.Spec().Digest || expired(now) {
			return keyInvalid()
		}
	}
	if c.hop != hopPlace {
		e.refundWorkspace(c)
	}
	if err := e.admitWorkspace(ctx, c); err != nil {
		return beforeSending(ctx, err)
	}
	c.admittedAt = time.Now()
	return nil
}

// sinceEither returns the time since t by the monotonic clock or by the wall
// clock, whichever is longer: the monotonic one stands still while a VM is
// suspended.
func sinceEither(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// outgoing returns a call's request as it is sent on, without what belongs to
// the caller's connection and without the caller's key.
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

// sendLocal sends a call to an upstream and copies its answer.
func (e *Entry) sendLocal(w http.ResponseWriter, r *http.Request, c *call, t localTarget) attempt {
	a := attempt{names: []string{t.upstream.Name()}, result: resultCancelled}
	// A crashed upstream rests as one that cannot be reached, since it refuses
	// connections. The request itself stays lost: it may have run.
	crashed := false
	defer func() {
		if crashed {
			t.done(resultUnreached)
			return
		}
		t.done(a.result)
	}()
	run, err := e.suspects.Start(t.upstream.Name(), c.fingerprint)
	switch {
	case errors.Is(err, fgsuspect.ErrBusy), errors.Is(err, fgsuspect.ErrRunning):
		a.running = errors.Is(err, fgsuspect.ErrRunning)
		a.busy, a.err = true, runsAlone()
		return a
	case err != nil:
		a.err = crashesUpstreams()
		return a
	}
	defer func() { e.spreadSuspects(run.Finish(a.result == resultAnswered || a.result == resultFailed)) }()
	if a.err = e.readmit(r.Context(), c); a.err != nil {
		return a
	}
	out := c.outgoing(r)
	if c.upstreamID != "" {
		out.Header.Set(fgupstream.HeaderRequestID, c.upstreamID)
	}
	res, outcome, cause := e.upstreams.RoundTrip(c.sendContext, t.upstream.Spec().Address, out)
	switch outcome {
	case fgupstream.Refused:
		a.result, a.err = resultOf(res), noCapacity("the upstream refused the request")
	case fgupstream.Answered:
		e.logDecision(c, destination{upstream: t.upstream.Name()}, outcomeRan, "placed-here")
		a.result, a.err = e.passAnswer(w, c, res)
		if a.result == resultAnswered {
			a.result = resultOf(res)
		}
	default:
		a.result, a.err = e.unanswered(c, outcome, cause)
	}
	if a.result == resultLost {
		crashed = e.detectCrash(t.upstream)
	}
	return a
}

// unanswered returns the refusal of a request that no answer came for.
func (e *Entry) unanswered(c *call, o fgupstream.Outcome, cause error) (result, error) {
	ended := c.sendContext.Err() != nil
	var p *fgproblem.Problem
	switch {
	case errors.As(cause, &p):
		// The body was refused while it was sent.
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
		e.logger.V(1).Info("connection lost", "requestId", c.id, "error", cause.Error())
		return resultLost, fgproblem.New(http.StatusBadGateway, fgproblem.CodeUpstreamLost, "the connection broke before an answer came").
			WithOutcome(fgproblem.Unknown)
	}
}

// passAnswer copies an answer to the caller.
func (e *Entry) passAnswer(w http.ResponseWriter, c *call, res *http.Response) (result, error) {
	defer func() { _ = res.Body.Close() }()
	if c.fromRegion != "" && c.fromRegion != e.settings.raw.Region {
		res.Body = readCloser{Reader: e.pace(c.sendContext, e.settings.raw.Region, c.fromRegion, res.Body), Closer: res.Body}
	}
	err := copyAnswer(w, res)
	switch {
	case err == nil:
		return resultAnswered, nil
	case c.sendContext.Err() != nil || errors.Is(err, errCallerGone):
		return resultCancelled, err
	default:
		return resultLost, err
	}
}
