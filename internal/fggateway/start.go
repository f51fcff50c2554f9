package fggateway

import (
	"context"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

// maxStartDifference is how long before this gateway another one may have started that
// counts as starting at the same time: less than entries of a killed gateway last.
const maxStartDifference = 2 * time.Second

// startStep is a step of a gateway's start.
type startStep string

// The steps of a start, in their usual order.
const (
	// stepRegistered is the write of the entry that names the gateway.
	stepRegistered startStep = "registered"
	// stepStoreRead is the first view with a policy.
	stepStoreRead startStep = "store-read"
	// stepPeerHeard is the first state of another gateway.
	stepPeerHeard startStep = "peer-heard"
	// stepLookup is the first look-up that was answered, and stepRequest the first
	// request that an upstream responded to.
	stepLookup  startStep = "look-up"
	stepRequest startStep = "request"
)

// startSteps records when the steps of a start ended. The zero value is ready to use.
type startSteps struct {
	done sync.Map
	// copied holds the VMs that have sent a copy of the store.
	copied sync.Map
}

// recordStep logs a step of the start and sets its metric, once.
func (g *Gateway) recordStep(s startStep) {
	if _, done := g.steps.done.Load(s); done {
		return
	}
	if _, done := g.steps.done.LoadOrStore(s, true); done {
		return
	}
	took := time.Since(g.started)
	g.metrics.StartStep(string(s), took)
	g.logger.Info("start step done", "step", string(s), "afterMs", took.Milliseconds())
}

// isStarting reports whether the gateway has started so lately that it may not have
// heard all others.
func (g *Gateway) isStarting() bool { return time.Since(g.started) < g.silentTimeout() }

// isUp reports whether a look-up may name a gateway. While this one is starting, it names
// those that it has heard or that have started lately too: the entries of gateways that
// were killed with it last until their leases end.
func (g *Gateway) isUp(m fgsteer.MemberSpec) bool {
	if !g.isStarting() || m.VM == g.settings.Self.VM || g.peers.isHeard(m.VM) {
		return g.isAvailable(m.VM)
	}
	started := time.UnixMilli(int64(m.Incarnation >> incarnationRandomBits))
	return started.After(g.started.Add(-maxStartDifference))
}

// isHeard reports whether a gateway has sent a state since this one started.
func (p *peers) isHeard(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.states[vm]
	return ok
}

// mayFollow reports whether a contact may be followed. While this gateway is starting, it
// follows only one that it has heard or that has sent it a copy: a call to one that was
// killed, or is starting too, fails only after a while, in which the copy stands still.
func (g *Gateway) mayFollow(vm string) bool {
	if !g.isStarting() || g.peers.isHeard(vm) {
		return true
	}
	_, ok := g.steps.copied.Load(vm)
	return ok
}

// awaitView waits for a view with a policy at a gateway that has just started, at most
// for policyWait after a time.
func (g *Gateway) awaitView(ctx context.Context, from time.Time) *fgsteer.View {
	v := g.mirror.View()
	for time.Since(from) < policyWait && (v == nil || v.Policy() == nil) {
		if fgtimer.Wait(ctx, policyPollInterval) != nil {
			break
		}
		v = g.mirror.View()
	}
	return v
}
