// Package fgupstream sends requests to upstreams over HTTP and reports whether
// an upstream may have received any part of a failed request.
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

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/transport/fgconn"
)

const (
	connectTimeout = time.Second
	// idleConnTimeout is short, because a NAT or firewall on the path may drop its
	// state of an idle connection.
	idleConnTimeout = 5 * time.Second
	maxIdlePerHost  = 64
	// userTimeout is TCP_USER_TIMEOUT: how long sent data may stay unacknowledged
	// before the kernel closes the connection.
	userTimeout = 3 * time.Second
	// TCP keep-alive probes detect an upstream that becomes unresponsive after it
	// has acknowledged the request.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxRefusalBytes is how much of a refusal's body is read so that the
	// connection can be reused.
	maxRefusalBytes = 4 << 10
)

// HeaderNotRun is the header with which an upstream guarantees, in a 503
// response, that it did not run the request.
const HeaderNotRun = "Request-Not-Run"

// HeaderSendID is the header with an ID of one send. An upstream that copies it to its
// response lets the client recognise a response to another request: a second copy
// that arrives late, on a connection that is in use again.
const HeaderSendID = "Filbertgap-Send-Id"

// ErrOtherResponse means that a response belongs to another request.
var ErrOtherResponse = merry.Sentinel("the response belongs to another request")

// HeaderRequestID is the header with the ID of a non-idempotent request.
const HeaderRequestID = "Filbertgap-Request-Id"

// Outcome reports whether an upstream ran, or may have run, a request.
type Outcome int

// The outcomes of a request.
const (
	// Lost means that the upstream may have run the request.
	Lost Outcome = iota
	// Unreached means that no byte of the request reached the upstream.
	Unreached
	// Refused means that the upstream guarantees that it did not run the request.
	Refused
	// Answered means that the upstream sent any other response.
	Answered
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Client.
type Options struct {
	// Dial opens connections. Nil opens plain TCP connections.
	Dial DialFunc
}

// Client sends requests to upstreams.
type Client struct {
	transport *http.Transport
}

// New returns a client with its own connection pool.
func New(opts Options) *Client {
	dial := opts.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if err := detectUnresponsivePeer(c); err != nil {
				_ = c.Close()
				return nil, err
			}
			return &conn{Conn: fgconn.New(c)}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: fgheader.MaxResponseBytes,
	}}
}

// detectUnresponsivePeer makes the kernel close a connection whose peer is
// unresponsive: TCP_USER_TIMEOUT covers unacknowledged requests, and keep-alive
// probes cover the time after the acknowledgement.
func detectUnresponsivePeer(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	return errors.Join(err, setUserTimeout(tcp))
}

// RoundTrip sends a request to an upstream's address, at most once. It returns a
// response if the outcome is Answered or Refused, and an error otherwise. If the
// outcome is Answered, the caller must close the response body.
func (c *Client) RoundTrip(ctx context.Context, address string, r *http.Request) (*http.Response, Outcome, error) {
	var sent writeTracker
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { sent.start(i.Conn) }}
	outReq := r.Clone(httptrace.WithClientTrace(ctx, trace))
	outReq.URL.Scheme = "http"
	outReq.URL.Host = address
	outReq.RequestURI = ""
	outReq.Header.Del("Expect")
	preventResend(outReq)
	sendID := fgrequest.NewTraceID()
	outReq.Header.Set(HeaderSendID, sendID)
	res, err := fgconn.Transport{RoundTripper: c.transport}.RoundTrip(outReq)
	if err != nil {
		return nil, sent.outcome(), err
	}
	if id := res.Header.Get(HeaderSendID); id != "" && id != sendID {
		_ = res.Body.Close()
		return nil, sent.outcome(), merry.Wrap(ErrOtherResponse)
	}
	res.Header.Del(HeaderSendID)
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderNotRun) == "true" {
		_, _ = io.CopyN(io.Discard, res.Body, maxRefusalBytes)
		_ = res.Body.Close()
		return res, Refused, nil
	}
	return res, Answered, nil
}

// preventResend changes a request so that net/http's Transport never sends it
// a second time. If a reused connection breaks, the Transport resends a request
// that has no body or one that can be rewound, provided that its method is safe
// or it carries an Idempotency-Key.
func preventResend(r *http.Request) {
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.ContentLength = 0
		r.Body = emptyBody{}
	}
}

// emptyBody is an empty body that net/http does not treat as absent, unlike nil
// and http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// writeTracker records the connection that carries a request, and how many
// bytes had been written to that connection before.
type writeTracker struct {
	mu            sync.Mutex
	conn          *conn
	writtenBefore int64
	// untracked means that the request got a connection whose bytes are not
	// counted, or more than one connection.
	untracked bool
}

// start records the connection that the Transport chose for the request.
func (s *writeTracker) start(n net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := n.(*conn)
	if !ok || s.conn != nil {
		s.untracked = true
		return
	}
	s.conn, s.writtenBefore = c, c.bytesWritten()
}

// outcome classifies a failed request. It closes the request's connection, so
// that no part of the request is sent after the classification.
func (s *writeTracker) outcome() Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.untracked:
		return Lost
	case s.conn == nil || s.conn.closeAndCount() == s.writtenBefore:
		return Unreached
	default:
		return Lost
	}
}

// RefusesConnections reports whether an address refuses new connections, which
// means that no process listens there.
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
