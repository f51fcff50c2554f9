package fggateway

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/coordination/fglookup"
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
		v := g.mirror.View()
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
		}
	})
	return r
}

// addresses returns the addresses of available gateways in the caller's region, or in
// all regions if it has none; gateways of higher capacity are in more responses.
// Requests of a route that is restricted to regions therefore do not enter through
// another region while the caller's own has a gateway.
func (g *Gateway) addresses(v *fgsteer.View, query fgmessage.Lookup) []string {
	var sameRegion, all []fglookup.Candidate
	for _, m := range v.Members() {
		if !g.isAvailable(m.VM) {
			continue
		}
		c := fglookup.Candidate{Address: m.CallerAddress, Capacity: m.Capacity}
		all = append(all, c)
		if m.Region == query.Region {
			sameRegion = append(sameRegion, c)
		}
	}
	if len(sameRegion) > 0 {
		all = sameRegion
	}
	if len(all) == 0 && !g.leaving.Load() {
		all = []fglookup.Candidate{{Address: g.settings.Self.CallerAddress}}
	}
	return fglookup.Spread(g.settings.Self.CallerAddress, all, maxAddresses)
}
