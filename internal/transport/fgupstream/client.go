// Package fgupstream sends requests to upstreams over HTTP and tells whether
// an upstream can have received any part of one.
package fgupstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

const (
	connectTimeout = time.Second
	// idleConnTimeout is short, because a device on the way may have forgotten
	// an idle connection.
	idleConnTimeout = 5 * time.Second
	maxIdlePerHost  = 64
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval find a connection that went silent
	// after it had acknowledged the request.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxRefusalBytes of a refusal's body are read to keep its connection.
	maxRefusalBytes = 4 << 10
)

// HeaderNotRun is the declared header by which an upstream that answers 503
// vouches that it did not run the request.
const HeaderNotRun = "Request-Not-Run"

// HeaderRequestID carries the id of a non-idempotent request.
const HeaderRequestID = "Filbertgap-Request-Id"

// Outcome tells what can have happened to a request.
type Outcome int

// The outcomes of a request.
const (
	// Lost means that the upstream may have run the request.
	Lost Outcome = iota
	// Unreached means that no byte of the request reached the upstream.
	Unreached
	// Refused means that the upstream vouches that it did not run the request.
	Refused
	// Answered means that the upstream answered.
	Answered
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Client.
type Options struct {
	// Dial replaces plain TCP connections.
	Dial DialFunc
}

// Client sends requests to upstreams.
type Client struct {
	transport *http.Transport
}

// New returns a client with its own connections.
func New(o Options) *Client {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if err := limitSilence(c); err != nil {
				_ = c.Close()
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	}}
}

// limitSilence makes the kernel end a connection whose other end has gone
// silent, before and after it acknowledged a request.
func limitSilence(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	return errors.Join(err, setUserTimeout(tcp))
}

// RoundTrip sends a request to an upstream's address, at most once. The answer
// is present when the outcome is Answered or Refused; an Answered one's body
// must be closed. Otherwise the error is present.
func (c *Client) RoundTrip(ctx context.Context, address string, r *http.Request) (*http.Response, Outcome, error) {
	var sent sentOn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { sent.start(i.Conn) }}
	out := r.Clone(httptrace.WithClientTrace(ctx, trace))
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.RequestURI = ""
	out.Header.Del("Expect")
	preventResend(out)
	res, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, sent.outcome(), err
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderNotRun) == "true" {
		_, _ = io.CopyN(io.Discard, res.Body, maxRefusalBytes)
		_ = res.Body.Close()
		return res, Refused, nil
	}
	return res, Answered, nil
}

// preventResend changes a request so that net/http's Transport never sends it
// a second time. On a reused connection that breaks, the Transport resends a
// request whose body is absent or can be rewound, if its method is safe or it
// carries an Idempotency-Key.
func preventResend(r *http.Request) {
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.ContentLength = 0
		r.Body = emptyBody{}
	}
}

// emptyBody is a body that net/http does not recognise as absent.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// sentOn remembers the connection that a request was given, and how much had
// been written to it before.
type sentOn struct {
	mu     sync.Mutex
	conn   *conn
	before int64
	// other means that a connection was given that cannot be counted, or more
	// than one.
	other bool
}

func (s *sentOn) start(n net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := n.(*conn)
	if !ok || s.conn != nil {
		s.other = true
		return
	}
	s.conn, s.before = c, c.count()
}

// outcome classifies a failed request. It closes the request's connection, so
// that nothing of it is sent after the classification.
func (s *sentOn) outcome() Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.other:
		return Lost
	case s.conn == nil || s.conn.seal() == s.before:
		return Unreached
	default:
		return Lost
	}
}

// RefusesConnections reports whether an address refuses a new connection: no
// process listens there.
func RefusesConnections(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
