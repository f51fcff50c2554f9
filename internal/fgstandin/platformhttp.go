package fgstandin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

// maxWatchWait bounds how long a watch call waits before it responds that nothing
// has changed.
const maxWatchWait = time.Minute

// Handler serves the platform over HTTP for fgplatform.Client. Tests set the VM
// list and the faults under /control/.
func (p *Platform) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/kv/*key", p.handleGet)
	r.PUT("/kv/*key", p.handleCompareAndSwap)
	r.DELETE("/kv/*key", p.handleDelete)
	r.GET("/watch/*key", p.handleWatch)
	r.GET("/range/*prefix", p.handleRange)
	r.POST("/lease", p.handleGrant)
	r.PUT("/lease/:id", p.handleKeepAlive)
	r.GET("/vms", p.handleListVMs)
	r.PUT("/control/vms", p.handleSetVMs)
	r.PUT("/control/faults", p.handleSetFaults)
	return r
}

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	v, err := p.Get(r.Context(), ps.ByName("key")[1:])
	respond(w, v, err)
}

func (p *Platform) handleCompareAndSwap(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision: "+err.Error(), http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, fgstore.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	key := ps.ByName("key")[1:]
	revision, err := p.CompareAndSwap(r.Context(), key, expected, data)
	respond(w, fgstore.Value{Key: key, Revision: revision}, err)
}

func (p *Platform) handleDelete(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision: "+err.Error(), http.StatusBadRequest)
		return
	}
	err = p.Delete(r.Context(), ps.ByName("key")[1:], expected)
	respond(w, struct{}{}, err)
}

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait <= 0 || wait > maxWatchWait {
		http.Error(w, "wait: accepted are durations up to 1m", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	v, err := p.Watch(ctx, ps.ByName("key")[1:], after)
	if errors.Is(err, context.DeadlineExceeded) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	respond(w, v, err)
}

func (p *Platform) handleRange(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	keys, err := p.Range(r.Context(), ps.ByName("prefix")[1:])
	respond(w, keys, err)
}

func (p *Platform) handleGrant(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "ttl: accepted are durations above zero", http.StatusBadRequest)
		return
	}
	id, err := p.Grant(r.Context(), ttl)
	respond(w, struct {
		ID uint64 `json:"id"`
	}{id}, err)
}

func (p *Platform) handleKeepAlive(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	id, err := strconv.ParseUint(ps.ByName("id"), 10, 64)
	if err != nil {
		http.Error(w, "id: "+err.Error(), http.StatusBadRequest)
		return
	}
	respond(w, struct{}{}, p.KeepAlive(r.Context(), id))
}

func (p *Platform) handleListVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	vms, err := p.ListVMs(r.Context())
	respond(w, vms, err)
}

func (p *Platform) handleSetVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var vms []fgstore.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
}

func (p *Platform) handleSetFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// respond writes a JSON response, or the status for an error.
func respond(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case errors.Is(err, fgstore.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, fgstore.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, fgstore.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, fgstore.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		// The outcome is unknown: close the connection without a response.
		panic(http.ErrAbortHandler)
	}
}
