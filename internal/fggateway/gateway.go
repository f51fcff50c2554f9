// Package fggateway implements a gateway: the process on each entry VM of a
// platform that keeps all persistent state in its own store. A gateway serves
// callers' look-ups and forwards their requests to upstreams in any region.
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

	"github.com/filbertgap/filbertgap/internal/coordination/fgadmission"
	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/coordination/fghedge"
	"github.com/filbertgap/filbertgap/internal/coordination/fgmirror"
	"github.com/filbertgap/filbertgap/internal/coordination/fgpath"
	"github.com/filbertgap/filbertgap/internal/coordination/fgquota"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fglog"
	"github.com/filbertgap/filbertgap/internal/fgmetrics"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
	"github.com/filbertgap/filbertgap/internal/transport/fglistener"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

const (
	// readHeaderTimeout, idleTimeout and maxHeaderBytes limit the time to send a header,
	// the time without a request, and the size of a header, to which net/http adds
	// 4 KiB. For callers, the policy may set other limits.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	// incarnationRandomBits of an incarnation are random, the others are its start in
	// milliseconds.
	incarnationRandomBits = 20
)

// Settings are the settings of a gateway for its VM.
type Settings struct {
	Self          fgsteer.MemberSpec
	CallerListen  string
	ReadyListen   string
	LookupListen  string
	PeerListen    string
	MetricsListen string
	// MemoryBytes is the memory limit of the process. Zero means no limit.
	MemoryBytes int64
	// MaxResponseHeaderBytes limits the head of an upstream's response. Zero means
	// fgpool.DefaultMaxHeadBytes.
	MaxResponseHeaderBytes int
	// MaxExtraRequests limits the second sends of slow requests, as a part of the requests
	// of each group. Zero means none.
	MaxExtraRequests float64
	// AdmitSharedGroups means that requests of groups that routes of different priority share
	// are admitted by urgency, and not only those of groups whose upstreams tell how slow
	// they are.
	AdmitSharedGroups bool
	Bounds            Bounds
}

// Bounds are the limits that the platform sets for a gateway. They may change while
// it runs.
type Bounds struct {
	// LookupLifetime is the longest time to live (TTL) of a look-up response.
	LookupLifetime time.Duration
	// Grace is the time from the stop signal until the process must have ended.
	Grace time.Duration
	// A cold upstream may get ColdOver times the requests per second that it
	// tolerates, plus ColdSlack.
	ColdOver  float64
	ColdSlack int
	// All VMs together may send RepeatRatio retries for each request, plus
	// RepeatExtra in each RepeatWindow.
	RepeatRatio  float64
	RepeatExtra  int
	RepeatWindow time.Duration
	// RateSlack is the number of requests by which a workspace may exceed its rate
	// in a window.
	RateSlack int
	// LoadAware means that upstreams of all groups are chosen by expected time, and not only
	// those of groups whose upstreams tell how slow they are.
	LoadAware bool
}

// Options hold a gateway's settings and dependencies.
type Options struct {
	Settings Settings
	Feed     fgstore.Feed
	Codec    fgmirror.Codec
	// EncodeMember returns the key and value of the store entry that registers the
	// gateway.
	EncodeMember func(fgsteer.MemberSpec) (string, []byte, error)
	Dialect      fgmessage.Dialect
	Logger       logr.Logger
	// DialUpstream opens connections to upstreams. Nil means a net.Dialer.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	// DroppedLines returns the number of dropped log lines. Nil means that none are
	// dropped.
	DroppedLines func() int64
}

// Gateway is one gateway process.
type Gateway struct {
	options     Options
	settings    Settings
	dialect     fgmessage.Dialect
	logger      logr.Logger
	mirror      *fgmirror.Mirror
	balancer    *fgaffinity.Balancer
	drained     drained
	groups      fgaffinity.GroupSelector
	retryBudget fgaffinity.RetryBudget
	admission   fgadmission.Controller
	hedges      fghedge.Controller
	limiter     *fgquota.Limiter
	crashes     fgsuspect.Crashes
	// isolated is what the balancer was last told. Only exchange uses it.
	isolated    bool
	bodies      bodyMemory
	metrics     *fgmetrics.Gateway
	peers       peers
	contacts    contacts
	relay       relay
	pool        fgpool.Pool
	path        fgpath.Tracker
	peerPool    fgpool.Pool
	logSamplers logSamplers
	sockets     sockets
	bounds      atomic.Pointer[Bounds]
	leaving     atomic.Bool
	stopping    stopping
	started     time.Time
	steps       startSteps
	copyLimit   copyLimit
	// compressedCopy is the last copy of the store that was sent to another gateway.
	compressedCopy compressedCopy
}

// logSamplers limit the rate of log lines about requests.
type logSamplers struct{ served, callers, failed *fglog.Sampler }

// The limits of log lines per second, for requests that an upstream responded to,
// that were refused because of an error of their caller, and that failed. A flood of
// one kind does not suppress the others, and failures have the highest limit.
const (
	servedLinesPerSecond  = 10
	callersLinesPerSecond = 10
	failedLinesPerSecond  = 100
)

func newLogSamplers() logSamplers {
	return logSamplers{served: fglog.NewSampler(servedLinesPerSecond), callers: fglog.NewSampler(callersLinesPerSecond), failed: fglog.NewSampler(failedLinesPerSecond)}
}

// forCode returns the sampler for requests that ended with a code.
func (l logSamplers) forCode(c code) *fglog.Sampler {
	switch c {
	case codeAnswered:
		return l.served
	case codeKeyUnknown, codeNoRoute, codeAboveRate:
		return l.callers
	default:
		return l.failed
	}
}

// New returns a gateway, which is started by Listen and Run.
func New(o Options) *Gateway {
	// A later incarnation has a higher number, so that late states of an earlier one
	// are recognised.
	o.Settings.Self.Incarnation = uint64(time.Now().UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
	g := &Gateway{
		options:     o,
		settings:    o.Settings,
		dialect:     o.Dialect,
		started:     time.Now(),
		logger:      o.Logger,
		logSamplers: newLogSamplers(),
		limiter:     fgquota.New(),
		balancer: fgaffinity.New(fgaffinity.Options{
			Region: o.Settings.Self.Region, AvailabilityZone: o.Settings.Self.AvailabilityZone, VM: o.Settings.Self.VM,
		}),
	}
	g.stopping.ended, g.stopping.end = context.WithCancel(context.Background())
	g.limiter.SetSelf(o.Settings.Self.VM)
	g.bodies.limit = o.Settings.MemoryBytes / bodyMemoryDivisor
	g.admission.SetMaxBytes(g.bodies.limit / waitingMemoryDivisor)
	g.pool.SetMaxHeadBytes(o.Settings.MaxResponseHeaderBytes)
	g.hedges.SetLimit(o.Settings.MaxExtraRequests)
	g.admission.SetSharedGroups(o.Settings.AdmitSharedGroups)
	g.pool.SetHooks(fgpool.Hooks{Dial: o.DialUpstream, Connected: g.observeConnection})
	g.SetBounds(o.Settings.Bounds)
	g.contacts.gateway = g
	g.relay.relay = newRelay(o.Settings.Self.VM)
	g.mirror = fgmirror.New(fgmirror.Options{Feed: o.Feed, Codec: o.Codec, Logger: o.Logger, Publish: g.applyView, Contact: g.contacts.next, Copy: g.startCopy, Registered: func() { g.recordStep(stepRegistered) }})
	g.metrics = g.newMetrics()
	return g
}

// newMetrics returns metrics that read the gateway's state when they are scraped.
func (g *Gateway) newMetrics() *fgmetrics.Gateway {
	dropped := g.options.DroppedLines
	if dropped == nil {
		dropped = func() int64 { return 0 }
	}
	return fgmetrics.NewGateway(fgmetrics.GatewayCallbacks{
		StoreAge: g.mirror.Age, StoreCopyAge: g.mirror.CopyAge, StoreRevision: g.mirror.Revision, StoreEra: g.mirror.Era, ConnectionsOpened: g.pool.Opened, ConnectionsReused: g.pool.Reused,
		ConnectionsNotReset: func() int64 { return g.pool.NotReset() + g.peerPool.NotReset() }, DroppedLines: dropped,
		CallerConnections: func() int64 { return g.sockets.callers.Accepted() },
		LimitedUpstreams:  g.balancer.LimitedUpstreams,
		SignalCounts:      g.balancer.SignalCounts,
		GroupRoom:         g.groupRoom,
		PathStatus:        func() int { return int(g.path.Status()) },
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
			if v := g.mirror.View(); v != nil {
				return countUpstreams(v)
			}
			return 0
		},
	})
}

// SetBounds applies changed bounds.
func (g *Gateway) SetBounds(b Bounds) {
	g.bounds.Store(&b)
	g.balancer.SetColdBounds(b.ColdOver, b.ColdSlack)
	g.retryBudget.SetBounds(b.RepeatRatio, b.RepeatExtra, b.RepeatWindow)
	g.limiter.SetSlack(b.RateSlack)
	g.balancer.SetLoadAware(b.LoadAware)
}

// applyView applies a new view.
func (g *Gateway) applyView(v *fgsteer.View) {
	g.balancer.Update(v)
	g.admission.Update(v)
	g.withdrawDrained(v)
	if v.Policy() != nil {
		g.recordStep(stepStoreRead)
	}
	g.path.SetUpstreams(countUpstreams(v))
	// This VM may serve requests before its own entry is in the view.
	vms := []string{g.settings.Self.VM}
	for _, m := range v.Members() {
		if m.VM != g.settings.Self.VM {
			vms = append(vms, m.VM)
		}
	}
	g.retryBudget.SetMembers(len(vms))
	g.limiter.SetMembers(vms)
	if p := v.Policy(); p != nil {
		g.limiter.SetPolicy(p)
	}
}

// sockets are the gateway's open sockets.
type sockets struct {
	callers                *fglistener.Draining
	ready, lookup, metrics net.Listener
	peers                  *fggossip.Socket
}

// Listen opens the gateway's sockets.
func (g *Gateway) Listen() error {
	callers, err := fglistener.Listen(g.settings.CallerListen)
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	g.sockets.callers = callers
	for _, socket := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"ready", g.settings.ReadyListen, &g.sockets.ready},
		{"look-ups", g.settings.LookupListen, &g.sockets.lookup},
		{"metrics", g.settings.MetricsListen, &g.sockets.metrics},
	} {
		l, err := net.Listen("tcp", socket.address)
		if err != nil {
			return fmt.Errorf("%s: %w", socket.name, err)
		}
		*socket.listener = l
	}
	if g.sockets.peers, err = fggossip.Listen(g.settings.PeerListen); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	g.settings.Self.CallerAddress = g.sockets.callers.Addr().String()
	g.settings.Self.PeerAddress = g.sockets.peers.Address()
	return nil
}

// Run serves until the context ends, then stops gracefully. Listen must have
// succeeded before. If a task fails, Run returns its error.
func (g *Gateway) Run(ctx context.Context) error {
	self := g.settings.Self
	key, entry, err := g.options.EncodeMember(self)
	if err != nil {
		return err
	}
	g.logger.Info("gateway starts", "vm", self.VM, "incarnation", self.Incarnation, "region", self.Region,
		"availabilityZone", self.AvailabilityZone, "caller", self.CallerAddress, "peer", self.PeerAddress)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	announceCtx, stopAnnouncing := context.WithCancel(background)
	defer stopAnnouncing()

	callers := newCallerServers(g.sockets.callers, http.HandlerFunc(g.serveCaller), g.callerLimits, g.logger)
	ready, lookup, metrics := newServer(g.readyHandler()), newServer(g.lookupHandler()), newServer(g.metricsHandler())
	tasks := []task{
		{"metrics", func(context.Context) error { return metrics.Serve(g.sockets.metrics) }},
		{"callers", callers.serve},
		{"ready", func(context.Context) error { return ready.Serve(g.sockets.ready) }},
		{"look-ups", func(context.Context) error { return lookup.Serve(g.sockets.lookup) }},
		{"exchange", g.exchange},
		{"peers", func(ctx context.Context) error { return g.sockets.peers.Receive(ctx, g.receiveState) }},
		{"relay", g.passOnStates},
		{"peer calls", func(ctx context.Context) error { return g.sockets.peers.Serve(ctx, storeService{g}) }},
		{"mirror", g.mirror.Run},
		{"pool", g.pool.Run},
		{"path", g.watchPath},
		{"admission", g.admission.Run},
		{"peer pool", g.peerPool.Run},
		{"distances", g.measureRTTs},
	}
	results := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() { results <- t.endError(t.run(background)) }()
	}
	announced := make(chan error, 1)
	go func() { announced <- g.mirror.Announce(announceCtx, key, entry) }()

	select {
	case err := <-results:
		return err
	case <-ctx.Done():
	}
	g.stop(callers, stopAnnouncing)
	cancel()
	_, _, _ = ready.Close(), lookup.Close(), metrics.Close()
	<-announced
	for range tasks {
		<-results
	}
	g.logger.Info("gateway stopped", "vm", self.VM)
	return nil
}

// task is a task of the gateway that runs until its context ends or, for a server,
// until it is closed.
type task struct {
	name string
	run  func(context.Context) error
}

// endError returns the error that a task ended with, or nil if it was stopped.
func (t task) endError(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("%s ended: %w", t.name, err)
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

// isReady reports whether the gateway should receive requests.
func (g *Gateway) isReady() bool {
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
		if !g.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}
