package fggateway

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// lookupLifetime is how long callers keep an answer. A shorter one lets them
	// leave a lost VM sooner and costs more look-ups.
	lookupLifetime = 2 * time.Second
	// maxAddresses is how many addresses callers read of an answer.
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
		answer := fgmessage.LookupResponse{
			Addresses: g.addresses(v, codec.Read(r)),
			TTL:       min(lookupLifetime, g.bounds.Load().LookupLifetime),
		}
		if err := codec.Write(w, answer); err != nil {
			g.logger.Info("look-up answer not written", "error", err.Error())
		}
	})
	return r
}

// addresses returns the gateways of the caller's region, or all if there are
// none. A route that is bound to regions so never enters at a foreign one while
// the caller's own has a gateway.
func (g *Gateway) addresses(v *fgsteer.View, l fgmessage.Lookup) []string {
	var near, all []string
	for _, m := range v.Members() {
		if !g.present(m.VM) {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Region == l.Region {
			near = append(near, m.CallerAddress)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 && !g.leaving.Load() {
		all = []string{g.settings.Self.CallerAddress}
	}
	return all[:min(len(all), maxAddresses)]
}
