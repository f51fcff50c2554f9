// Package fggateway assembles a gateway: the process on each entry VM of a
// platform that keeps all lasting state in its own store. It answers callers'
// look-ups and passes their requests on to upstreams in any region.
package fggateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/coordination/fgmirror"
	"github.com/filbertgap/filbertgap/internal/coordination/fgquota"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fglog"
	"github.com/filbertgap/filbertgap/internal/fgmetrics"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

const (
	// readHeaderTimeout, idleTimeout and maxHeaderBytes bound callers while no
	// policy is known: the time to send a header, the time without a request, and
	// the header's size, to which net/http adds 4 KiB.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	// acceptFor is how long a stopping gateway takes requests: callers keep
	// look-up answers for up to three lifetimes.
	acceptFor = 3 * time.Second
	// stopMargin is left between the last answer and the platform's SIGKILL.
	stopMargin = 400 * time.Millisecond
)

// Settings are what a gateway needs to know about its VM.
type Settings struct {
	Self          fgsteer.MemberSpec
	CallerListen  string
	ReadyListen   string
	LookupListen  string
	PeerListen    string
	MetricsListen string
	// MemoryBytes is the memory of the process. Zero: not bounded.
	MemoryBytes int64
	Bounds      Bounds
}

// Bounds are the figures that a gateway is held to. They may change while it
// runs.
type Bounds struct {
	// LookupLifetime is the longest lifetime of a look-up answer that counts.
	LookupLifetime time.Duration
	// Grace is the time from the order to stop to the process's end.
	Grace time.Duration
	// ColdOver and ColdSlack bound the requests at cold upstreams.
	ColdOver  float64
	ColdSlack int
	// RepeatRatio, RepeatExtra and RepeatWindow bound repeats over all VMs.
	RepeatRatio  float64
	RepeatExtra  int
	RepeatWindow time.Duration
	// RateSlack is what a workspace may exceed its rate by in a window.
	RateSlack int
}

// Options are a gateway's collaborators.
type Options struct {
	Settings Settings
	Feed     fgstore.Feed
	Codec    fgmirror.Codec
	// Entry returns the key and the value by which the gateway announces itself.
	Entry   func(fgsteer.MemberSpec) (string, []byte, error)
	Dialect fgmessage.Dialect
	Logger  logr.Logger
	// DroppedLines counts log lines that were dropped. Nil: none are.
	DroppedLines func() int64
}

// Gateway is one gateway process.
type Gateway struct {
	options  Options
	settings Settings
	dialect  fgmessage.Dialect
	logger   logr.Logger
	mirror   *fgmirror.Mirror
	balancer *fgaffinity.Balancer
	groups   fgaffinity.Groups
	repeats  fgaffinity.Repeats
	meter    *fgquota.Meter
	crashes  fgsuspect.Crashes
	bodies   bodyMemory
	metrics  *fgmetrics.Gateway
	peers    peers
	pool     fgpool.Pool
	logs     logs
	sockets  sockets
	bounds   atomic.Pointer[Bounds]
	leaving  atomic.Bool
	started  time.Time
}

// logs bound the lines about requests.
type logs struct{ served, callers, failed *fglog.Sampler }

// The lines per second about requests that were answered, that were refused for
// what their caller did, and that failed. A flood of one kind leaves room for
// the others, and failures are kept longest.
const (
	servedLines  = 10
	callersLines = 10
	failedLines  = 100
)

func newLogs() logs {
	return logs{served: fglog.NewSampler(servedLines), callers: fglog.NewSampler(callersLines), failed: fglog.NewSampler(failedLines)}
}

// of returns what bounds the lines of requests that ended in a way.
func (l logs) of(c code) *fglog.Sampler {
	switch c {
	case codeAnswered:
		return l.served
	case codeKeyUnknown, codeNoRoute, codeAboveRate:
		return l.callers
	default:
		return l.failed
	}
}

// New returns a gateway. Nothing runs before Run.
func New(o Options) *Gateway {
	o.Settings.Self.Incarnation = rand.Uint64()
	g := &Gateway{
		options:  o,
		settings: o.Settings,
		dialect:  o.Dialect,
		started:  time.Now(),
		logger:   o.Logger,
		logs:     newLogs(),
		meter:    fgquota.New(),
		balancer: fgaffinity.New(fgaffinity.Options{
			Region: o.Settings.Self.Region, VM: o.Settings.Self.VM,
		}),
	}
	g.bodies.limit = o.Settings.MemoryBytes / bodyPart
	g.SetBounds(o.Settings.Bounds)
	g.mirror = fgmirror.New(fgmirror.Options{Feed: o.Feed, Codec: o.Codec, Logger: o.Logger, Publish: g.update})
	g.metrics = g.newMetrics()
	return g
}

// newMetrics returns metrics that read the gateway's state when fetched.
func (g *Gateway) newMetrics() *fgmetrics.Gateway {
	dropped := g.options.DroppedLines
	if dropped == nil {
		dropped = func() int64 { return 0 }
	}
	return fgmetrics.NewGateway(fgmetrics.GatewayCallbacks{
		StoreAge: g.mirror.Age, StoreRevision: g.mirror.Revision, ConnectionsOpened: g.pool.Opened, ConnectionsReused: g.pool.Reused, DroppedLines: dropped,
		PolicyVersion: func() int64 {
			if v := g.mirror.View(); v != nil && v.Policy() != nil {
				return v.Policy().Version()
			}
			return 0
		},
		Members: func() int {
			if v := g.mirror.View(); v != nil {
				return len(v.Members())
			}
			return 0
		},
		Upstreams: func() int {
			n := 0
			if v := g.mirror.View(); v != nil {
				for _, all := range v.Groups() {
					n += len(all)
				}
			}
			return n
		},
	})
}

// SetBounds takes over changed bounds.
func (g *Gateway) SetBounds(b Bounds) {
	g.bounds.Store(&b)
	g.balancer.SetColdBounds(b.ColdOver, b.ColdSlack)
	g.repeats.SetBounds(b.RepeatRatio, b.RepeatExtra, b.RepeatWindow)
	g.meter.SetSlack(b.RateSlack)
}

// update takes over a view.
func (g *Gateway) update(v *fgsteer.View) {
	g.balancer.Update(v)
	// This VM takes requests before its own entry is in the view.
	vms := []string{g.settings.Self.VM}
	for _, m := range v.Members() {
		if m.VM != g.settings.Self.VM {
			vms = append(vms, m.VM)
		}
	}
	g.repeats.SetMembers(len(vms))
	g.meter.SetMembers(vms)
	if p := v.Policy(); p != nil {
		g.meter.SetPolicy(p)
	}
}

// sockets are the gateway's open addresses.
type sockets struct {
	callers, ready, lookup net.Listener
	metrics                net.Listener
	peers                  *fggossip.Socket
}

// Listen opens the gateway's addresses.
func (g *Gateway) Listen() error {
	for _, one := range []struct {
		name, address string
		socket        *net.Listener
	}{
		{"callers", g.settings.CallerListen, &g.sockets.callers},
		{"ready", g.settings.ReadyListen, &g.sockets.ready},
		{"look-ups", g.settings.LookupListen, &g.sockets.lookup},
		{"metrics", g.settings.MetricsListen, &g.sockets.metrics},
	} {
		l, err := net.Listen("tcp", one.address)
		if err != nil {
			return fmt.Errorf("%s: %w", one.name, err)
		}
		*one.socket = l
	}
	var err error
	if g.sockets.peers, err = fggossip.Listen(g.settings.PeerListen); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	g.settings.Self.CallerAddress = g.sockets.callers.Addr().String()
	g.settings.Self.PeerAddress = g.sockets.peers.Address()
	return nil
}

// Run serves until the context ends, then stops gracefully. Listen must have
// succeeded before.
func (g *Gateway) Run(ctx context.Context) error {
	self := g.settings.Self
	key, entry, err := g.options.Entry(self)
	if err != nil {
		return err
	}
	g.logger.Info("gateway starts", "vm", self.VM, "incarnation", self.Incarnation, "region", self.Region,
		"availabilityZone", self.AvailabilityZone, "caller", self.CallerAddress, "peer", self.PeerAddress)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	announcing, withdraw := context.WithCancel(background)
	defer withdraw()

	callers := newCallers(g.sockets.callers, http.HandlerFunc(g.serveCaller), g.callerLimits, g.logger)
	ready, lookup, metrics := newServer(g.readyHandler()), newServer(g.lookupHandler()), newServer(g.metricsHandler())
	parts := []part{
		{"metrics", func(context.Context) error { return metrics.Serve(g.sockets.metrics) }},
		{"callers", callers.serve},
		{"ready", func(context.Context) error { return ready.Serve(g.sockets.ready) }},
		{"look-ups", func(context.Context) error { return lookup.Serve(g.sockets.lookup) }},
		{"exchange", func(ctx context.Context) error { return g.exchange(ctx, g.sockets.peers) }},
		{"peers", func(ctx context.Context) error { return g.sockets.peers.Receive(ctx, g.hear) }},
		{"peer calls", func(ctx context.Context) error { return g.sockets.peers.Serve(ctx, storeService{g}) }},
		{"mirror", g.mirror.Run},
		{"pool", g.pool.Run},
		{"distances", g.measureDistances},
	}
	ends := make(chan error, len(parts))
	for _, p := range parts {
		go func() { ends <- p.end(p.run(background)) }()
	}
	announced := make(chan error, 1)
	go func() { announced <- g.mirror.Announce(announcing, key, entry) }()

	select {
	case err := <-ends:
		return err
	case <-ctx.Done():
	}
	g.stop(callers, withdraw)
	cancel()
	_, _, _ = ready.Close(), lookup.Close(), metrics.Close()
	<-announced
	for range parts {
		<-ends
	}
	g.logger.Info("gateway stopped", "vm", self.VM)
	return nil
}

// part is a task of the gateway that runs until its context ends or, for a
// server, until it is closed.
type part struct {
	name string
	run  func(context.Context) error
}

// end describes why a part ended.
func (p part) end(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("%s ended: %w", p.name, err)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
	}
}

// callerLimits returns the policy's limits for new connections of callers.
func (g *Gateway) callerLimits() fgsteer.CallerLimits {
	if v := g.mirror.View(); v != nil && v.Policy() != nil {
		return v.Policy().Limits()
	}
	return fgsteer.CallerLimits{}
}

// stop leaves without cutting a request: the VM disappears from look-ups, goes
// on serving callers that still hold an answer, and closes each connection with
// its next answer.
func (g *Gateway) stop(callers *callers, withdraw func()) {
	began, grace := time.Now(), g.bounds.Load().Grace
	g.logger.Info("gateway is leaving", "vm", g.settings.Self.VM, "grace", grace.String())
	g.leaving.Store(true)
	withdraw()
	_ = fgtimer.Wait(context.Background(), min(acceptFor, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-stopMargin))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.logger.Info("requests still in flight at the end of the grace period", "error", err.Error())
		_ = callers.Close()
	}
}

// ready reports whether callers should come here.
func (g *Gateway) ready() bool {
	v := g.mirror.View()
	return v != nil && v.Policy() != nil && !g.leaving.Load()
}

func (g *Gateway) metricsHandler() http.Handler {
	r := httprouter.New()
	r.Handler(http.MethodGet, "/metrics", g.metrics.Handler())
	return r
}

func (g *Gateway) readyHandler() http.Handler {
	r := httprouter.New()
	method, path := g.dialect.Ready()
	r.Handle(method, path, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}
