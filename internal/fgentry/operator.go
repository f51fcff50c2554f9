package fgentry

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/coordination/fgsync"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// maxChangeBytes bounds an operator's change, so that its journal entry fits
// into one stored value.
const maxChangeBytes = 128 << 10

// submitRetryAfter is suggested to operators whose change was refused because
// the platform did not answer.
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

// ChangeRequest asks for a change of the configuration, all of it or nothing.
type ChangeRequest struct {
	// ChangeID is chosen by the client. A repeat with the same id is not applied twice.
	ChangeID string `json:"changeId"`
	fgconfig.Change
}

// ChangeAnswer tells the generation that a change received.
type ChangeAnswer struct {
	Generation uint64 `json:"generation"`
}

func (e *Entry) handleChange(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if p := e.refuseChange(); p != nil {
		p.Write(w, "")
		return
	}
	var in ChangeRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&in); err != nil {
		fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, err.Error()).Write(w, "")
		return
	}
	if in.ChangeID == "" {
		fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "changeId is empty").Write(w, "")
		return
	}
	generation, err := e.config.Submit(r.Context(), in.ChangeID, buildChange(in.Change))
	if err != nil {
		changeProblem(err).Write(w, "")
		return
	}
	e.logger.Info("configuration changed", "generation", generation, "change", in.ChangeID)
	writeJSON(w, ChangeAnswer{Generation: generation})
}

// buildChange returns a payload builder that checks a change.
func buildChange(c fgconfig.Change) func(*fgconfig.Snapshot) (json.RawMessage, error) {
	return func(s *fgconfig.Snapshot) (json.RawMessage, error) {
		if err := s.Check(c); err != nil {
			return nil, err
		}
		return json.Marshal(c)
	}
}

// refuseChange returns the reason why this VM accepts no changes, or nil.
func (e *Entry) refuseChange() *fgproblem.Problem {
	m, ok := e.ownRecord()
	if ok && m.Contact && !e.leaving.Load() {
		return nil
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

func changeProblem(err error) *fgproblem.Problem {
	switch {
	case errors.Is(err, fgapi.ErrInvalid), errors.Is(err, fgjournal.ErrTooLarge), errors.Is(err, fgjournal.ErrChangeID):
		return fgproblem.New(http.StatusUnprocessableEntity, fgproblem.CodeInvalid, err.Error())
	case errors.Is(err, fgstore.ErrUnknown):
		return unansweredChange(err)
	case errors.Is(err, fgconfig.ErrConflict), errors.Is(err, fgsync.ErrBusy):
		return fgproblem.New(http.StatusConflict, fgproblem.CodeConflict, err.Error())
	case errors.Is(err, fgconfig.ErrNotFound):
		return fgproblem.New(http.StatusNotFound, fgproblem.CodeNotFound, err.Error())
	case errors.Is(err, fgstore.ErrUnavailable):
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodePlatform, err.Error()).WithRetryAfter(submitRetryAfter)
	default:
		return unansweredChange(err)
	}
}

// unansweredChange tells an operator that a change may have been accepted.
func unansweredChange(err error) *fgproblem.Problem {
	return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodePlatform, err.Error()).
		WithOutcome(fgproblem.Unknown).WithRetryAfter(submitRetryAfter)
}

func (e *Entry) handleResources(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s := e.config.State()
	resources := s.All()
	if text := r.URL.Query().Get("kind"); text != "" {
		k, ok := fgapi.ParseKind(text)
		if !ok {
			fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "kind "+text+" is unknown").Write(w, "")
			return
		}
		resources = s.Resources(k)
	}
	name := r.URL.Query().Get("name")
	e.askMissing(r.Context(), s.Generation())
	out := []fgapi.Resource{}
	for _, res := range resources {
		if name != "" && res.Metadata.Name != name {
			continue
		}
		res.Status = e.statusAt(res.Metadata.ResourceVersion)
		out = append(out, res)
	}
	writeJSON(w, out)
}

// FleetStatus describes the fleet as one VM sees it.
type FleetStatus struct {
	VM         string            `json:"vm"`
	Generation uint64            `json:"generation"`
	Status     *fgapi.Status     `json:"status"`
	Members    []fgmember.Member `json:"members"`
}

func (e *Entry) handleStatus(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	generation := e.config.Generation()
	e.askMissing(r.Context(), generation)
	writeJSON(w, FleetStatus{
		VM:         e.settings.raw.VM,
		Generation: generation,
		Status:     e.statusAt(generation),
		Members:    e.members.State().All(),
	})
}

func (e *Entry) metricsHandler() http.Handler {
	r := httprouter.New()
	r.Handler(http.MethodGet, "/metrics", promhttp.Handler())
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
