package fgentry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/coordination/fgsync"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// maxChangeBytes bounds the body of an operator's change, so that its journal
// entry fits into one value of the platform's store.
const maxChangeBytes = 128 << 10

// submitRetryAfter is the Retry-After of refusals while the platform is
// unavailable or this VM does not accept changes.
const submitRetryAfter = 2 * time.Second

func (e *Entry) operatorHandler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/changes", e.handleChange)
	r.GET("/v1/resources", e.handleResources)
	r.GET("/v1/status", e.handleStatus)
	return e.requireOperator(r)
}

func (e *Entry) requireOperator(next http.Handler) http.Handler {
	want := "Bearer " + e.settings.operatorToken
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			fgproblem.New(http.StatusUnauthorized, fgproblem.CodeUnauthorized, "the operator credential is missing or wrong").Write(w, "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// changeRequest is a change of the configuration, which is applied as a whole
// or not at all.
type changeRequest struct {
	// ChangeID is chosen by the client. A retry with the same id is not applied
	// twice.
	ChangeID string          `json:"changeId"`
	Put      json.RawMessage `json:"put"`
	Delete   []fgapi.Ref     `json:"delete"`
}

// maxChangeIDBytes bounds a change id. The journal stores the recent ones.
const maxChangeIDBytes = 64

// readChange decodes a change. Unknown fields are rejected.
func readChange(w http.ResponseWriter, r *http.Request) (string, fgconfig.Change, error) {
	var in changeRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&in)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return "", fgconfig.Change{}, fmt.Errorf("the change has more than %d bytes; split it", maxChangeBytes)
	}
	if err != nil {
		return "", fgconfig.Change{}, fmt.Errorf("the change cannot be read: %w", err)
	}
	if in.ChangeID == "" || len(in.ChangeID) > maxChangeIDBytes {
		return "", fgconfig.Change{}, fmt.Errorf("changeId has %d bytes; accepted are 1 to %d", len(in.ChangeID), maxChangeIDBytes)
	}
	c := fgconfig.Change{Delete: in.Delete}
	if len(in.Put) > 0 {
		if c.Put, err = fgapi.Decode("put", in.Put); err != nil {
			return "", fgconfig.Change{}, err
		}
	}
	if len(c.Put)+len(c.Delete) == 0 {
		return "", fgconfig.Change{}, errors.New("the change is empty; accepted is at least one resource in put or delete")
	}
	return in.ChangeID, c, nil
}

// ChangeResponse is the response to an accepted change, with the generation
// that the change was given.
type ChangeResponse struct {
	Generation uint64 `json:"generation"`
}

func (e *Entry) handleChange(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if p := e.refuseChange(); p != nil {
		p.Write(w, "")
		return
	}
	changeID, change, err := readChange(w, r)
	if errors.Is(err, fgapi.ErrInvalid) {
		changeRefusal(err).Write(w, "")
		return
	}
	if err != nil {
		fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, err.Error()).Write(w, "")
		return
	}
	generation, err := e.config.Submit(r.Context(), changeID, buildChange(change))
	if err != nil {
		changeRefusal(err).Write(w, "")
		return
	}
	e.logger.Info("configuration changed", "generation", generation, "change", changeID)
	writeJSON(w, ChangeResponse{Generation: generation})
}

// buildChange returns a function that checks a change against a snapshot and
// encodes it as the payload of a journal entry.
func buildChange(c fgconfig.Change) func(*fgconfig.Snapshot) (json.RawMessage, error) {
	return func(s *fgconfig.Snapshot) (json.RawMessage, error) {
		if err := s.Check(c); err != nil {
			return nil, err
		}
		return json.Marshal(c)
	}
}

// refuseChange returns the reason why this VM does not accept changes, or nil.
func (e *Entry) refuseChange() *fgproblem.Problem {
	m, ok := e.ownRecord()
	if ok && m.Contact && !e.leaving.Load() {
		return nil
	}
	if !ok && !e.leaving.Load() {
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodePlatform, "this VM has not registered with the platform yet").
			WithRetryAfter(submitRetryAfter)
	}
	detail := "this VM accepts no changes"
	for _, c := range e.members.State().Contacts() {
		if e.reports.Alive(c.Incarnation) && c.VM != e.settings.raw.VM {
			detail += "; send them to VM " + c.VM + " in " + c.AvailabilityZone
			break
		}
	}
	return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNotContact, detail).WithRetryAfter(submitRetryAfter)
}

func changeRefusal(err error) *fgproblem.Problem {
	switch {
	case errors.Is(err, fgapi.ErrInvalid), errors.Is(err, fgjournal.ErrTooLarge), errors.Is(err, fgjournal.ErrChangeID):
		return fgproblem.New(http.StatusUnprocessableEntity, fgproblem.CodeInvalid, err.Error())
	case errors.Is(err, fgstore.ErrUnknown):
		return unknownChangeOutcome(err)
	case errors.Is(err, fgconfig.ErrConflict), errors.Is(err, fgsync.ErrBusy):
		return fgproblem.New(http.StatusConflict, fgproblem.CodeConflict, err.Error())
	case errors.Is(err, fgconfig.ErrNotFound):
		return fgproblem.New(http.StatusNotFound, fgproblem.CodeNotFound, err.Error())
	case errors.Is(err, fgstore.ErrUnavailable):
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodePlatform, err.Error()).WithRetryAfter(submitRetryAfter)
	default:
		return unknownChangeOutcome(err)
	}
}

// unknownChangeOutcome returns a refusal that says that the change may have
// been accepted.
func unknownChangeOutcome(err error) *fgproblem.Problem {
	return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodePlatform, err.Error()).
		WithOutcome(fgproblem.Unknown).WithRetryAfter(submitRetryAfter)
}

// maxWatchWait bounds how long a watch request waits for a change.
const maxWatchWait = 30 * time.Second

// reportPollInterval separates checks of the other VMs' reports during a watch.
const reportPollInterval = 50 * time.Millisecond

// handleResources returns resources and their status. If the query has wait,
// the response is held until the ETag differs from If-None-Match. If they are
// still equal after that time, the response is 304.
func (e *Entry) handleResources(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	var kind fgapi.Kind
	if text := q.Get("kind"); text != "" {
		var ok bool
		if kind, ok = fgapi.ParseKind(text); !ok {
			fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "kind "+text+" is unknown").Write(w, "")
			return
		}
	}
	var wait time.Duration
	if text := q.Get("wait"); text != "" {
		var err error
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 || wait > maxWatchWait {
			fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "wait is "+text+"; accepted is a duration up to "+maxWatchWait.String()).Write(w, "")
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	e.requestMissingReports(r.Context(), e.config.Generation())
	body, tag := e.watchResources(ctx, kind, q.Get("name"), r.Header.Get("If-None-Match"))
	w.Header().Set("ETag", tag)
	if tag == r.Header.Get("If-None-Match") {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// watchResources returns the resources as JSON and their ETag, once the ETag
// differs from seen or the context ends.
func (e *Entry) watchResources(ctx context.Context, kind fgapi.Kind, name, seen string) ([]byte, string) {
	ticker := time.NewTicker(reportPollInterval)
	defer ticker.Stop()
	for {
		changed := e.config.Changed()
		body, err := json.Marshal(e.resources(kind, name))
		if err != nil {
			e.logger.Error(err, "resources could not be encoded")
		}
		sum := sha256.Sum256(body)
		tag := `"` + hex.EncodeToString(sum[:8]) + `"`
		if tag != seen || ctx.Err() != nil {
			return body, tag
		}
		select {
		case <-ctx.Done():
			return body, tag
		case <-changed:
		case <-ticker.C:
		}
	}
}

// resources returns the resources of a kind and name with their status. An
// empty kind or name matches all.
func (e *Entry) resources(kind fgapi.Kind, name string) []fgapi.Resource {
	s := e.config.State()
	found := s.All()
	if kind != "" {
		found = s.Resources(kind)
	}
	out := []fgapi.Resource{}
	for _, res := range found {
		if name != "" && res.Metadata.Name != name {
			continue
		}
		res.Status = e.statusAt(res.Metadata.ResourceVersion)
		out = append(out, res)
	}
	return out
}

// FleetStatus describes the fleet as seen by one VM.
type FleetStatus struct {
	VM         string            `json:"vm"`
	Generation uint64            `json:"generation"`
	Status     *fgapi.Status     `json:"status"`
	Members    []fgmember.Member `json:"members"`
}

func (e *Entry) handleStatus(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	generation := e.config.Generation()
	if text := r.URL.Query().Get("generation"); text != "" {
		var err error
		if generation, err = strconv.ParseUint(text, 10, 64); err != nil {
			fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "generation is not a number").Write(w, "")
			return
		}
	}
	e.requestMissingReports(r.Context(), generation)
	writeJSON(w, FleetStatus{
		VM:         e.settings.raw.VM,
		Generation: e.config.Generation(),
		Status:     e.statusAt(generation),
		Members:    e.members.State().All(),
	})
}

func (e *Entry) metricsHandler() http.Handler {
	metrics := e.metrics.Handler()
	r := httprouter.New()
	r.GET("/metrics", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		e.metrics.SetGeneration(e.config.Generation())
		metrics.ServeHTTP(w, r)
	})
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { _, _ = w.Write([]byte("ok\n")) })
	r.GET("/readyz", e.handleReady)
	return r
}

func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if e.config.Generation() == 0 {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
