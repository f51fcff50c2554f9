package fgentry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgplacement"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/coordination/fgsync"
	"github.com/filbertgap/filbertgap/internal/fgmetrics"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
	"github.com/filbertgap/filbertgap/internal/transport/fglistener"
	"github.com/filbertgap/filbertgap/internal/transport/fgpeer"
	"github.com/filbertgap/filbertgap/internal/transport/fgupstream"
)

const (
	configKey  = "config/head"
	membersKey = "members/head"

	// readHeaderTimeout bounds how long a caller may take to send its request
	// header.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a caller's request header.
	maxHeaderBytes = 64 << 10
	// stopResponseTime is the time in which the responses of calls that a stop ends are
	// written before the drain timeout.
	stopResponseTime = 100 * time.Millisecond
	// announceTimeout bounds how long a leaving process tries to inform its
	// neighbours.
	announceTimeout = time.Second
)

// Entry is the entry process of one VM.
type Entry struct {
	settings    Settings
	logger      logr.Logger
	incarnation fgrequest.Incarnation
	config      *fgsync.Replica[*fgconfig.Snapshot]
	members     *fgsync.Replica[*fgmember.Set]
	reports     fgmember.Reports
	dialer      *fgpeer.Dialer
	upstreams   *fgupstream.Client
	metrics     *fgmetrics.Metrics
	placer      *fgplacement.Placer
	limits      *limits
	requestState
	listeners      listeners
	callerConns    fglistener.Connections
	vmLister       fgstore.VMLister
	freshness      *freshness
	keyedRequests  keyTracker
	inForce        inForce
	reportRequests reportRequests
	// peer returns an RPC client for the process at an address.
	peer func(ctx context.Context, address string) fgwire.DRPCPeerClient
	// pendingFetches queues the states of calling peers that have newer
	// journals.
	pendingFetches chan *fgwire.NodeState
	// leaving is set when the graceful stop begins. stopRequested is closed
	// when the platform asks for the stop.
	leaving       atomic.Bool
	stopOnce      sync.Once
	stopRequested chan struct{}
	// callsEnded is done when calls in flight must get their responses.
	callsEnded context.Context
	endCalls   context.CancelFunc
}

type listeners struct {
	caller, peer, operator, metrics net.Listener
	// callerQueue is the listener under caller, which may add TLS.
	callerQueue *fglistener.Draining
}

// New returns an entry that uses the given platform. Nothing runs until Run is
// called.
func New(s Settings, store fgstore.Store, lister fgstore.VMLister, logger logr.Logger) *Entry {
	dialer := fgpeer.NewDialer(s.fleetSecret)
	e := &Entry{
		settings:       s,
		logger:         logger,
		incarnation:    fgrequest.NewIncarnation(),
		dialer:         dialer,
		requestState:   requestState{store: store, peers: newPeerClient(dialer)},
		upstreams:      fgupstream.New(fgupstream.Options{}),
		metrics:        fgmetrics.New(),
		vmLister:       lister,
		freshness:      newFreshness(),
		pendingFetches: make(chan *fgwire.NodeState, fetchQueue),
		stopRequested:  make(chan struct{}),
	}
	e.callsEnded, e.endCalls = context.WithCancel(context.Background())
	e.peer = func(ctx context.Context, address string) fgwire.DRPCPeerClient {
		return fgwire.NewDRPCPeerClient(e.dialer.RPC(ctx, address))
	}
	e.config = fgsync.NewReplica(fgsync.Options[*fgconfig.Snapshot]{
		Store: store, Key: configKey, Initial: fgconfig.Empty(),
		Apply: fgconfig.Apply, Dump: fgconfig.Dump, Load: fgconfig.Load,
		Active: e.watchesPlatform, Observe: e.recordPlatformCall, Logger: logger,
		ReadsUnproven: func() bool { return e.remainingFreshness() <= 0 },
	})
	e.members = fgsync.NewReplica(fgsync.Options[*fgmember.Set]{
		Store: store, Key: membersKey, Initial: fgmember.EmptySet(),
		Apply: fgmember.Apply, Dump: fgmember.Dump, Load: fgmember.Load,
		Active: e.watchesPlatform, Logger: logger,
	})
	e.placer = newPlacer(e)
	e.limits = newLimits(e, store)
	return e
}

// Listen opens the entry's listeners.
func (e *Entry) Listen() error {
	ports := []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{"peer-listen", e.settings.raw.PeerListen, &e.listeners.peer},
		{"operator-listen", e.settings.raw.OperatorListen, &e.listeners.operator},
		{"metrics-listen", e.settings.raw.MetricsListen, &e.listeners.metrics},
	}
	var err error
	if e.listeners.callerQueue, err = fglistener.Listen(e.settings.raw.CallerListen); err != nil {
		return fmt.Errorf("--caller-listen: %w", err)
	}
	e.listeners.caller = e.listeners.callerQueue
	for _, p := range ports {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			e.closeListeners()
			return fmt.Errorf("--%s: %w", p.name, err)
		}
		*p.listener = l
	}
	e.addTLS()
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.listeners.caller, e.listeners.peer, e.listeners.operator, e.listeners.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallerAddress returns the address that is advertised to callers.
func (e *Entry) CallerAddress() string {
	if a := e.settings.raw.CallerAdvertise; a != "" {
		return a
	}
	return e.listeners.caller.Addr().String()
}

// PeerAddress returns the address that is advertised to peers.
func (e *Entry) PeerAddress() string {
	if a := e.settings.raw.PeerAdvertise; a != "" {
		return a
	}
	return e.listeners.peer.Addr().String()
}

// OperatorAddress returns the address of the operators' listener.
func (e *Entry) OperatorAddress() string { return e.listeners.operator.Addr().String() }

// MetricsAddress returns the address of the metrics listener.
func (e *Entry) MetricsAddress() string { return e.listeners.metrics.Addr().String() }

func (e *Entry) self() fgmember.Member {
	return fgmember.Member{
		VM:               e.settings.raw.VM,
		Incarnation:      e.incarnation.String(),
		Region:           e.settings.raw.Region,
		AvailabilityZone: e.settings.raw.AvailabilityZone,
		CallerAddress:    e.CallerAddress(),
		PeerAddress:      e.PeerAddress(),
	}
}

// Run serves until the context ends or the platform asks this VM to leave, then
// stops gracefully. Listen must have succeeded before.
func (e *Entry) Run(ctx context.Context) error {
	e.logger.Info("entry starting", "vm", e.settings.raw.VM, "incarnation", e.incarnation.String(),
		"caller", e.CallerAddress(), "peer", e.PeerAddress(), "operator", e.OperatorAddress())
	caller := e.httpServer(e.callerConns.Handler(e.callerHandler()))
	caller.ConnState = e.callerConns.Observe
	operator := e.httpServer(e.operatorHandler())
	metrics := e.httpServer(e.metricsHandler())
	// The tasks do not end with ctx, so that they continue during the graceful stop.
	background := context.WithoutCancel(ctx)
	running := startTasks(background,
		task{"state", e.runState},
		task{"peers", e.servePeers},
		loopTask("limits", e.runLimits),
		loopTask("placement", e.runPlacement),
		loopTask("metrics", e.runMetrics),
		serverTask("caller listener", caller, e.listeners.caller),
		serverTask("operator listener", operator, e.listeners.operator),
		serverTask("metrics listener", metrics, e.listeners.metrics),
	)
	defer running.stop()
	err := running.wait(ctx, e.stopRequested)
	began := time.Now()
	e.stop(background, caller)
	e.metrics.DrainEnded("VM", time.Since(began))
	_ = operator.Close()
	_ = metrics.Close()
	return err
}

// runState keeps this process's copy of the fleet's state up to date.
func (e *Entry) runState(ctx context.Context) error {
	running := startTasks(ctx,
		task{"configuration", e.config.Run},
		task{"members", e.members.Run},
		loopTask("exchange", e.exchangeLoop),
		loopTask("membership", e.runMembership),
		loopTask("withdrawals", e.runKeyTracker),
	)
	defer running.stop()
	return running.wait(ctx, nil)
}

// serverTask returns a task that serves HTTP until the server is closed.
func serverTask(name string, s *http.Server, l net.Listener) task {
	return task{name: name, run: func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		return serveHTTP(s, l)
	}}
}

func (e *Entry) httpServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: fglistener.ConnContext}
}

func serveHTTP(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (e *Entry) servePeers(ctx context.Context) error {
	mux := drpcmux.New()
	if err := fgwire.DRPCRegisterPeer(mux, &peerService{entry: e}); err != nil {
		return err
	}
	s := fgpeer.NewServer(fgpeer.ServerOptions{Secret: e.settings.fleetSecret, RPC: mux, HTTP: e.forwardedHandler(), Logger: e.logger})
	return s.Serve(ctx, e.listeners.peer)
}

// stop leaves the fleet without aborting requests. The VM is removed from
// look-ups, serves callers with cached look-ups for the drain wait, and then
// waits for the requests in flight, which get a response by the drain timeout. No step
// waits for the platform for longer than memberWriteTimeout.
func (e *Entry) stop(ctx context.Context, caller *http.Server) {
	e.logger.Info("entry is leaving the fleet", "vm", e.settings.raw.VM)
	e.placer.Stop()
	e.leaving.Store(true)
	e.announceLeaving(ctx)
	e.changeMembers(ctx, "leave-"+e.incarnation.String(), fgmember.BuildLeave(e.self()))
	_ = fgtimer.Wait(ctx, e.settings.raw.DrainWait)
	timeout := e.settings.raw.DrainTimeout
	drain, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	timer := time.AfterFunc(timeout-min(stopResponseTime, timeout/10), e.endCalls)
	defer timer.Stop()
	if queue := e.listeners.callerQueue; queue != nil {
		if err := queue.Drain(drain); err != nil {
			e.logger.Info("accepting the queued connections failed", "error", err.Error())
		}
	}
	if err := e.callerConns.Stop(drain, caller); err != nil {
		e.logger.Info("requests still in flight at the drain timeout", "error", err.Error())
	}
	if err := e.forwarded.wait(drain); err != nil {
		e.logger.Info("forwarded requests still in flight at the drain timeout", "error", err.Error())
	}
	// The removal allows the rebalancer to give this process's shares to
	// others, so this process must not spend any of them afterwards.
	e.changeMembers(ctx, "remove-"+e.incarnation.String(), fgmember.BuildRemove(e.self()))
	e.logger.Info("entry stopped", "vm", e.settings.raw.VM)
}

// announceLeaving informs the neighbours at once that this process is leaving,
// even while the platform is down.
func (e *Entry) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	e.applyReport(e.nodeState())
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, m := range e.peersToCall() {
		wg.Go(func() { _ = e.exchangeWith(ctx, m) })
	}
}
