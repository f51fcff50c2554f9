package fgentry

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/coordination/fgplacement"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/state/fgdedupe"
)

// lookupTTL is how long callers may cache a look-up response.
const lookupTTL = 30 * time.Second

// LookupVM is one VM of a look-up response.
type LookupVM struct {
	VM               string `json:"vm"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// IDPrefix is the prefix of the Idempotency-Keys of requests sent to this
	// VM.
	IDPrefix string `json:"idPrefix"`
}

// LookupResponse is the response to a look-up: the VMs that a caller should
// use, in order of preference.
type LookupResponse struct {
	VMs             []LookupVM `json:"vms"`
	LifetimeSeconds int        `json:"lifetimeSeconds"`
}

func (e *Entry) handleLookup(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	response := LookupResponse{LifetimeSeconds: int(lookupTTL.Seconds())}
	members := e.placer.Lookup(fgplacement.Lookup{
		Caller: callerAddress(r),
		Region: r.URL.Query().Get("region"),
		Alive:  func(incarnation string) bool { return e.reports.Alive(incarnation) && !e.reports.Leaving(incarnation) },
	})
	for _, m := range members {
		response.VMs = append(response.VMs, LookupVM{
			VM:               m.VM,
			Address:          m.CallerAddress,
			Region:           m.Region,
			AvailabilityZone: m.AvailabilityZone,
			IDPrefix:         idPrefix(m.Incarnation, time.Now()),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(response.LifetimeSeconds))
	_ = json.NewEncoder(w).Encode(response)
}

// callerAddress returns the remote address of a request's connection.
func callerAddress(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr()
}

// idPrefix returns the prefix of the ids that a process accepts in the current
// time window.
func idPrefix(incarnation string, now time.Time) string {
	i, err := fgrequest.ParseIncarnation(incarnation)
	if err != nil {
		return ""
	}
	return fgrequest.Prefix(i, fgdedupe.WindowAt(now))
}
