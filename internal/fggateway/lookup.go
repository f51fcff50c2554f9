package fggateway

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/coordination/fglookup"
	"github.com/filbertgap/filbertgap/internal/coordination/fgpath"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// lookupTTL is how long callers may use a look-up response. With a shorter one
	// they stop using a failed VM sooner, but send more look-ups.
	lookupTTL = 2 * time.Second
	// maxAddresses is how many addresses callers read from a response.
	maxAddresses = 64
)

func (g *Gateway) lookupHandler() http.Handler {
	r := httprouter.New()
	codec := g.dialect.Lookup()
	r.Handle(codec.Method, codec.Path, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		v := g.awaitView(r.Context(), time.Now())
		if v == nil || v.Policy() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		response := fgmessage.LookupResponse{
			Addresses: g.addresses(v, codec.Read(r)),
			TTL:       min(lookupTTL, g.bounds.Load().LookupLifetime),
		}
		if err := codec.Write(w, response); err != nil {
			g.logger.Info("writing a look-up response failed", "error", err.Error())
			return
		}
		g.recordStep(stepLookup)
	})
	return r
}

// addresses returns the addresses of available gateways in the caller's region, or in
// all regions if it has none; gateways of higher capacity are in more responses.
// Requests of a route that is restricted to regions therefore do not enter through
// another region while the caller's own has a gateway. Gateways that do not reach the
// upstreams are left out while there are others.
func (g *Gateway) addresses(v *fgsteer.View, query fgmessage.Lookup) []string {
	var sameRegion, all, noPath []fglookup.Candidate
	for _, m := range v.Members() {
		if !g.isUp(m) {
			continue
		}
		c := fglookup.Candidate{Address: m.CallerAddress, Capacity: m.Capacity}
		switch {
		case !g.hasPath(m.VM):
			noPath = append(noPath, c)
			continue
		case m.Region == query.Region:
			sameRegion = append(sameRegion, c)
		}
		all = append(all, c)
	}
	switch {
	case len(sameRegion) > 0:
		all = sameRegion
	case len(all) == 0:
		all = noPath
	}
	if len(all) == 0 && !g.leaving.Load() {
		all = []fglookup.Candidate{{Address: g.settings.Self.CallerAddress}}
	}
	return fglookup.Spread(g.settings.Self.CallerAddress, all, maxAddresses)
}

// hasPath reports whether a gateway reaches the upstreams, as far as known.
func (g *Gateway) hasPath(vm string) bool {
	if vm == g.settings.Self.VM {
		return g.path.Status() == fgpath.Open
	}
	return !g.peers.hasNoPath(vm)
}
