package fgentry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
)

// lookupLifetime is how long callers may cache a look-up answer.
const lookupLifetime = 30 * time.Second

// LookupVM is one VM of a look-up answer.
type LookupVM struct {
	VM               string `json:"vm"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// IDPrefix begins the Idempotency-Key of requests sent to this VM.
	IDPrefix string `json:"idPrefix"`
}

// LookupAnswer tells a caller which VMs to use, in order.
type LookupAnswer struct {
	VMs             []LookupVM `json:"vms"`
	LifetimeSeconds int        `json:"lifetimeSeconds"`
}

func (e *Entry) handleLookup(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer := LookupAnswer{LifetimeSeconds: int(lookupLifetime.Seconds())}
	for _, m := range e.members.State().All() {
		if m.Leaving || e.reports.Leaving(m.Incarnation) || !e.reports.Alive(m.Incarnation) {
			continue
		}
		answer.VMs = append(answer.VMs, LookupVM{
			VM:               m.VM,
			Address:          m.CallerAddress,
			Region:           m.Region,
			AvailabilityZone: m.AvailabilityZone,
			IDPrefix:         idPrefix(m.Incarnation, time.Now()),
		})
	}
	slices.SortStableFunc(answer.VMs, func(a, b LookupVM) int { return e.distance(a) - e.distance(b) })
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(answer.LifetimeSeconds))
	_ = json.NewEncoder(w).Encode(answer)
}

func (e *Entry) distance(v LookupVM) int {
	switch {
	case v.VM == e.settings.raw.VM:
		return 0
	case v.Region == e.settings.raw.Region:
		return 1
	default:
		return 2
	}
}

// idPrefix returns the prefix of ids that a process may run now.
func idPrefix(incarnation string, now time.Time) string {
	i, err := fgrequest.ParseIncarnation(incarnation)
	if err != nil {
		return ""
	}
	return fgrequest.Prefix(i, fgrequest.WindowAt(now))
}
