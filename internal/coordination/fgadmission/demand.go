package fgadmission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
)

const (
	// recentHalfLife is the half-life of the counts of recent requests. A small gateway has
	// about two requests a second, of which it must count enough.
	recentHalfLife = 4 * time.Second
	// What a workspace usually sends is its rate in the first learningTime. Later it rises
	// at most to twice as much in usualDoubling, so that a workspace that sends many times
	// its usual amount for some seconds does not count as a larger one, and falls with the
	// half-life usualHalfLife.
	learningTime  = 10 * time.Second
	usualDoubling = 45 * time.Second
	usualHalfLife = time.Minute
	// loadHalfLife is the half-life of reports of load in the group's mean.
	loadHalfLife = time.Second
	// maxWorkspaces bounds the workspaces that are counted for a priority in a group. The
	// one with the least usual demand is dropped first.
	maxWorkspaces = 256
	// maxRoutes bounds the routes whose times are corrected in a group.
	maxRoutes = 64
	// minDemand is the decayed count of requests below which shares are not computed.
	minDemand = 6
	// minServedRatio is the part of the mean share of served requests below which a kind
	// or workspace counts as starved. A quarter is required.
	minServedRatio = 0.4
	// shareTolerance is the excess over its share above which a workspace yields.
	shareTolerance = 1.1
	// minExcess is the decayed count of requests by which a workspace may always exceed
	// its share, since small counts are random.
	minExcess = 2
	// minFullyServed is the part of the demand of a kind above which all find room.
	minFullyServed = 0.97
	// shareInterval is how often shares are computed.
	shareInterval = 100 * time.Millisecond
	// correctionStep is the relative step by which a response changes its route's
	// correction, which is between minCorrection and maxCorrection.
	correctionStep               = 1.0 / 32
	minCorrection, maxCorrection = 0.4, 2.5
)

// flow counts the recent requests of a kind or of a workspace.
type flow struct {
	demand, sent, blocked decayed
	// usual is the rate per second that the workspace usually sends.
	usual float64
	// share is the rate per second that the workspace may use of its kind's room, as
	// computed last. Infinite means no limit.
	share float64
}

// served returns the part of the recent demand that was sent.
func (f *flow) served(now time.Time) float64 {
	demand := f.demand.get(now, recentHalfLife)
	if demand == 0 {
		return 1
	}
	return min(1, f.sent.get(now, recentHalfLife)/demand)
}

// kind counts the recent requests of one priority.
type kind struct {
	flow

	workspaces map[string]*flow
	// shared is when the shares were computed last.
	shared time.Time
}

// group counts the recent requests of a group at one gateway.
type group struct {
	since time.Time
	kinds map[int]*kind
	// ended counts the sends that ended, and canBeInTime the requests that could be in time.
	ended, canBeInTime decayed
	// load and reports are the sum and number of reported loads per slot.
	load, reports decayed
	slowdownTold  time.Time
	// corrections holds the ratio of measured to expected times by route.
	corrections map[string]float64
	queue       queue
	// waitPlaced and waitRefused count the requests that waited and then were placed, or
	// refused. noRoom counts those that found no room at first.
	waitPlaced, waitRefused, noRoom decayed
}

func newGroup(now time.Time) *group {
	return &group{since: now, kinds: map[int]*kind{}, corrections: map[string]float64{}}
}

// kind returns the counts of a priority.
func (g *group) kind(priority int) *kind {
	k := g.kinds[priority]
	if k == nil {
		k = &kind{workspaces: map[string]*flow{}}
		g.kinds[priority] = k
	}
	return k
}

// workspace returns the counts of a workspace.
func (k *kind) workspace(name string, now time.Time) *flow {
	f := k.workspaces[name]
	if f != nil {
		return f
	}
	if len(k.workspaces) >= maxWorkspaces {
		least, lowest := "", math.Inf(1)
		for n, w := range k.workspaces {
			if w.usual < lowest {
				least, lowest = n, w.usual
			}
		}
		delete(k.workspaces, least)
	}
	f = &flow{share: math.Inf(1)}
	k.workspaces[name] = f
	return f
}

// each calls f for the counts of a request's kind and workspace.
func (g *group) each(r Request, now time.Time, f func(*flow)) {
	k := g.kind(r.Priority)
	f(&k.flow)
	f(k.workspace(r.Workspace, now))
}

// competition returns what competes with a request.
func (g *group) competition(a *Attempt, now time.Time) Competition {
	r := a.request
	var c Competition
	total, sent, urgent, urgentBlocked := 0.0, 0.0, 0.0, 0.0
	for priority, k := range g.kinds {
		demand := k.demand.get(now, recentHalfLife)
		total += demand
		sent += k.sent.get(now, recentHalfLife)
		if priority < r.Priority {
			urgent += demand
			urgentBlocked += k.blocked.get(now, recentHalfLife)
		}
	}
	k := g.kind(r.Priority)
	w := k.workspace(r.Workspace, now)
	if total > 0 {
		c.UrgentDemand = urgent / total
		c.Pressure = min(1, g.noRoom.get(now, recentHalfLife)/total)
		c.InTimeDemand = min(1, g.canBeInTime.get(now, recentHalfLife)/total)
	}
	if urgent > 0 {
		c.UrgentBlocked = min(1, urgentBlocked/urgent)
	}
	c.MeanLoad = g.meanLoad(now)
	if total >= minDemand {
		floor := minServedRatio * min(1, sent/total)
		c.Starved = k.demand.get(now, recentHalfLife) >= minDemand && k.served(now) < floor ||
			w.demand.get(now, recentHalfLife) >= minDemand && w.served(now) < floor
	}
	g.computeShares(k, now)
	c.OverShare = perSecond(w.sent.get(now, recentHalfLife)-minExcess, recentHalfLife, now.Sub(g.since)) > shareTolerance*w.share
	c.RoomRate = perSecond(g.ended.get(now, recentHalfLife), recentHalfLife, now.Sub(g.since))
	c.Unserved = 1 - k.served(now)
	c.Ahead = g.queue.ahead(a)
	if placed, refused := g.waitPlaced.get(now, recentHalfLife), g.waitRefused.get(now, recentHalfLife); placed+refused >= minDemand {
		c.WaitSuccess = placed / (placed + refused)
	}
	c.Correction = g.corrections[r.Route]
	return c
}

// part is the part of a workspace in the room of its kind.
type part struct {
	flow           *flow
	demand, weight float64
}

// meanLoad returns the mean reported load per slot, or zero if there are no recent reports.
func (g *group) meanLoad(now time.Time) float64 {
	reports := g.reports.get(now, loadHalfLife)
	if reports < 0.5 {
		return 0
	}
	return g.load.get(now, loadHalfLife) / reports
}

// computeShares divides the room that a kind lately had between its workspaces, by
// max-min fairness with what each usually sends as its weight. While all find room, there
// is no limit.
func (g *group) computeShares(k *kind, now time.Time) {
	elapsed := now.Sub(k.shared)
	if elapsed < shareInterval {
		return
	}
	k.shared = now
	age := now.Sub(g.since)
	room, demand, usual := perSecond(k.sent.get(now, recentHalfLife), recentHalfLife, age), 0.0, 0.0
	parts := make([]part, 0, len(k.workspaces))
	for _, f := range k.workspaces {
		f.share = math.Inf(1)
		p := part{flow: f, demand: perSecond(f.demand.get(now, recentHalfLife), recentHalfLife, age)}
		demand, usual = demand+p.demand, usual+f.usual
		parts = append(parts, p)
	}
	least := usual / float64(4*max(1, len(parts)))
	for i, p := range parts {
		p.flow.updateUsual(p.demand, least, age, elapsed)
		// A workspace that is new, or was silent, still gets a part.
		parts[i].weight = max(p.flow.usual, least)
	}
	if len(parts) > 1 && k.demand.get(now, recentHalfLife) >= minDemand && room < minFullyServed*demand {
		divide(parts, room)
	}
}

// updateUsual updates the usual rate with the recent one.
func (f *flow) updateUsual(recent, least float64, age, elapsed time.Duration) {
	switch {
	case age < learningTime:
		f.usual = recent
	case recent > f.usual:
		f.usual = min(recent, max(f.usual, least)*math.Exp2(elapsed.Seconds()/usualDoubling.Seconds()))
	default:
		f.usual = recent + (f.usual-recent)*math.Exp2(-elapsed.Seconds()/usualHalfLife.Seconds())
	}
}

// divide sets the shares of the workspaces whose demand is above the common level.
func divide(parts []part, room float64) {
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.demand*b.weight, b.demand*a.weight) })
	weights := 0.0
	for _, p := range parts {
		weights += p.weight
	}
	for i, p := range parts {
		if level := room / weights; p.demand > level*p.weight {
			for _, above := range parts[i:] {
				above.flow.share = level * above.weight
			}
			return
		}
		room, weights = room-p.demand, weights-p.weight
	}
}

// recordResponse compares the measured time of a response with the expected one. The ratio
// follows the median, since a few runs that take many times as long say nothing about the
// others: with the mean, most requests seemed to be late where runs are slow at random.
func (g *group) recordResponse(r Request, e fgaffinity.Estimate, took time.Duration) {
	expected := e.Total()
	if expected <= 0 {
		return
	}
	ratio, ok := g.corrections[r.Route]
	switch {
	case !ok && len(g.corrections) >= maxRoutes:
		return
	case !ok:
		ratio = 1
	}
	if took.Seconds() > ratio*expected.Seconds() {
		ratio *= 1 + correctionStep
	} else {
		ratio /= 1 + correctionStep
	}
	g.corrections[r.Route] = min(max(ratio, minCorrection), maxCorrection)
}
