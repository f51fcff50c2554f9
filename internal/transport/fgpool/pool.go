// Package fgpool sends requests to upstreams over pooled HTTP/1.1 connections
// and reports whether an upstream may have received any part of a failed
// request. Unlike net/http's Transport, it never sends a request a second time,
// and it skips responses that belong to an earlier request on the connection.
package fgpool

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
)

const (
	// defaultConnectTimeout applies if SetConnectTimeout sets none. It is shorter
	// than 1 s, the time after which TCP retransmits a lost SYN: by then, trying
	// another upstream is better.
	defaultConnectTimeout = 500 * time.Millisecond
	// userTimeout is TCP_USER_TIMEOUT: how long sent data may stay unacknowledged
	// before the kernel closes the connection.
	userTimeout = 2 * time.Second
	// TCP keep-alive probes detect an unresponsive peer on an idle connection. On Linux
	// they give up after userTimeout, whatever their count.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdleTimeout applies if the upstream sends no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's idle timeout, because the
	// upstream may close the connection while the next request is in transit. At
	// least half of the timeout remains.
	idleMargin = 1500 * time.Millisecond
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
	// DefaultMaxHeadBytes is the largest head of a response that is read, unless
	// SetMaxHeadBytes sets another limit.
	DefaultMaxHeadBytes = fgheader.MaxResponseBytes
	// maxStaleResponses is how many responses are skipped: those to earlier requests,
	// and interim (1xx) ones.
	maxStaleResponses = 3
	// maxStaleBodyBytes is the size at which the body of a response to an earlier
	// request is too large to skip.
	maxStaleBodyBytes = 256 << 10
	// maxInlineBytes is the size of the largest request that is written before the
	// response is read. Writing a larger one could block if the upstream responds
	// before it has read the whole request.
	maxInlineBytes = 16 << 10
)

// Sentinel errors of a Pool.
var (
	// ErrNotSent means that no byte of the request reached the upstream.
	ErrNotSent = merry.Sentinel("the request was not sent")
	// ErrNoResponse means that the upstream may have run the request, but no
	// complete response header was received.
	ErrNoResponse = merry.Sentinel("the request was sent, but no response was received")
	// ErrMalformed means that the upstream sent bytes that are not a response to the
	// request, or more of them than the limits allow. It comes with ErrNoResponse.
	ErrMalformed = merry.Sentinel("the upstream sent no valid response")
	// ErrWithdrawn means that Withdraw or the end of Run ended the exchange. It comes
	// with ErrNotSent or ErrNoResponse.
	ErrWithdrawn = merry.Sentinel("the request was withdrawn")

	// errHeadTooLarge means that the head of a response exceeds its limit.
	errHeadTooLarge = merry.Sentinel("the head of the response is too large")
)

// Target names an upstream and its address.
type Target struct {
	ID      string
	Address string
}

// Pool keeps idle connections to upstreams for reuse. The zero value is ready to
// use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// active holds the exchanges from the call of Send to the end of the response.
	active map[*exchange]struct{}
	// withdrawn reports whether requests to a target are withdrawn. It may be nil.
	withdrawn func(Target) bool
	// closed means that Run has ended.
	closed bool

	opened, reused atomic.Int64
	// notReset counts connections that should have been reset and were closed.
	notReset       atomic.Int64
	connectTimeout atomic.Int64
	maxHeadBytes   atomic.Int64
	hooks          Hooks
}

// Hooks are optional functions of a Pool.
type Hooks struct {
	// Dial opens connections instead of a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Connected is called after each attempt to open a connection that its context did
	// not end. err is nil if it succeeded.
	Connected func(t Target, err error)
}

// SetHooks sets the hooks. It must be called before the pool is used.
func (p *Pool) SetHooks(h Hooks) { p.hooks = h }

// SetMaxHeadBytes sets the size of the largest head of a response. A value of zero
// or less restores the default.
func (p *Pool) SetMaxHeadBytes(n int) { p.maxHeadBytes.Store(int64(n)) }

// headBytes returns the size of the largest head of a response.
func (p *Pool) headBytes() int {
	if n := int(p.maxHeadBytes.Load()); n > 0 {
		return n
	}
	return DefaultMaxHeadBytes
}

// SetConnectTimeout sets the timeout for opening a connection. A value of zero
// or less restores the default.
func (p *Pool) SetConnectTimeout(d time.Duration) { p.connectTimeout.Store(int64(d)) }

// Opened returns how many new connections were attempted.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// NotReset returns how many connections with an exchange that had not completed were
// closed, because they could not be reset. The network may still deliver their requests.
func (p *Pool) NotReset() int64 { return p.notReset.Load() }

// Reused returns how many requests were sent on a pooled connection.
func (p *Pool) Reused() int64 { return p.reused.Load() }

// key identifies the target in the pool. It includes the ID, because different
// processes may use the same address one after another.
func (t Target) key() string { return t.ID + "@" + t.Address }

// put adds an idle connection.
func (p *Pool) put(key string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.end(true)
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[key] = append(p.idle[key], c)
}

// take removes and returns the most recently used idle connection, or nil.
func (p *Pool) take(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[key] = conns[:len(conns)-1]
	return c
}

// connect returns an idle connection that is still usable, or a new one.
func (p *Pool) connect(ctx context.Context, t Target) (*conn, error) {
	for {
		c := p.take(t.key())
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.isReusable() {
			p.reused.Add(1)
			return c, nil
		}
		c.end(true)
	}
	return p.open(ctx, t)
}

// open opens a new connection.
func (p *Pool) open(ctx context.Context, t Target) (*conn, error) {
	p.opened.Add(1)
	timeout := time.Duration(p.connectTimeout.Load())
	if timeout <= 0 {
		timeout = defaultConnectTimeout
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dial := p.hooks.Dial
	if dial == nil {
		dial = dialer.DialContext
	}
	c, err := p.newUpstreamConn(dial(dialCtx, "tcp", t.Address))
	if p.hooks.Connected != nil && (err == nil || ctx.Err() == nil) {
		p.hooks.Connected(t, err)
	}
	return c, err
}

// HasIdle reports whether there is an idle connection to a target.
func (p *Pool) HasIdle(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[t.key()]) > 0
}

// ProbeResult is what an attempt to connect shows about an upstream.
type ProbeResult int

// Results of Probe.
const (
	// Connected means that the upstream accepts connections.
	Connected ProbeResult = iota
	// Refused means that the connection failed without a timeout: the VM runs, but
	// no process listens at the address or it accepts no more connections.
	Refused
	// Silent means that the attempt timed out.
	Silent
)

// String returns the result's name in log lines.
func (r ProbeResult) String() string {
	names := [...]string{Connected: "connected", Refused: "refused", Silent: "silent"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Probe opens a connection to an upstream whose idle connections may be dead,
// and adds it to the pool. If the attempt times out, the target's idle
// connections are closed.
func (p *Pool) Probe(ctx context.Context, t Target) ProbeResult {
	c, err := p.open(ctx, t)
	if err == nil {
		c.expires = time.Now().Add(defaultIdleTimeout)
		p.put(t.key(), c)
		return Connected
	}
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		p.Drop(t)
		return Silent
	}
	return Refused
}

// Run closes idle connections as they expire until the context is done. Then it closes
// the remaining ones, ends all exchanges, and makes Send fail.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.close()
			return ctx.Err()
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

// close closes the idle connections and ends all exchanges. closed is set before the idle
// connections are closed, so that put adds none afterwards.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	for x := range p.active {
		x.cancel(merry.Wrap(ErrWithdrawn))
	}
	p.mu.Unlock()
	p.sweep(time.Time{})
}

// sweep closes the idle connections that expired before now, or all of them if
// now is zero.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.IsZero() || now.After(c.expires) {
				c.end(true)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// Drop closes the idle connections to an upstream that no longer exists or does not
// respond.
func (p *Pool) Drop(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[t.key()] {
		c.end(true)
	}
	delete(p.idle, t.key())
}

var dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
}}
