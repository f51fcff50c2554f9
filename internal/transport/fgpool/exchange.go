package fgpool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
)

const (
	// abandonTimeout is how long an upstream has to acknowledge a request whose caller has
	// left. It is longer than a round trip between regions, and leaves 0.2 s of the 0.5 s
	// after which nothing may reach an upstream for such a caller.
	abandonTimeout = 300 * time.Millisecond
	// withdrawTimeout is the same for a request that Withdraw ends. A large body on a slow
	// link takes longer than abandonTimeout, and its caller still waits. It ends well before
	// a drained upstream may get nothing more, 2.5 s after the drain at the earliest.
	withdrawTimeout = 1500 * time.Millisecond
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body holds the body in parts, so that one of unknown length need not be copied.
	Body [][]byte
	// Accept reports whether a response belongs to this request. reused means that
	// the connection has carried earlier requests, whose responses may arrive late.
	// Nil accepts every response.
	Accept func(res *http.Response, reused bool) bool
	// Abandoned is a context whose end withdraws the request, as Withdraw does. Nil
	// means that nothing but the context of Send ends the exchange.
	Abandoned context.Context
}

// bodyBytes returns the size of the body.
func (r Request) bodyBytes() int {
	n := 0
	for _, part := range r.Body {
		n += len(part)
	}
	return n
}

// Response is an upstream's response. The caller reads Body and then calls Close
// once.
type Response struct {
	*http.Response

	exchange *exchange
	conn     *conn
	// stop prevents the context from resetting the connection any more. It returns
	// false if the context has already done so.
	stop func() bool
	// written receives the result of a write that runs in the background. It is
	// nil if the request was written before the response was read.
	written <-chan error
}

// exchange is a request from the call of Send to the end of its response.
type exchange struct {
	pool   *Pool
	target Target
	// cancel ends the exchange, whose connection is then reset.
	cancel context.CancelCauseFunc
	// release stops the observation of Request.Abandoned.
	release func() bool
	// allWritten and responded mean that the whole request was written, and that the
	// head of the response was read.
	allWritten, responded atomic.Bool
	abandonOnce           sync.Once
	withdrawOnce          sync.Once

	mu sync.Mutex
	// conn is nil until the first byte is about to be written.
	conn *conn
}

// Send sends a request to an upstream, at most once. Cancelling the context resets the
// connection at any time until the response is closed, so that nothing of the request
// that is in transit can reach the upstream. Errors wrap ErrNotSent or ErrNoResponse.
func (p *Pool) Send(ctx context.Context, t Target, r Request) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	x := &exchange{pool: p, target: t, cancel: cancel, release: func() bool { return true }}
	p.add(x)
	if r.Abandoned != nil {
		x.release = context.AfterFunc(r.Abandoned, x.abandon)
	}
	c, err := p.connect(ctx, t)
	if err != nil {
		x.finish()
		return nil, merry.Wrap(errors.Join(ErrNotSent, err, context.Cause(ctx)))
	}
	if r.Abandoned != nil && r.Abandoned.Err() != nil {
		// The function registered above may not have run yet.
		x.abandon()
	}
	stop := context.AfterFunc(ctx, func() { c.end(false) })
	rs := &Response{exchange: x, conn: c, stop: stop}
	if x.begin(ctx, c) {
		err = rs.run(r)
	} else {
		err = merry.Wrap(ErrNotSent)
	}
	c.used = true
	if err != nil {
		c.end(false)
		err = errors.Join(err, context.Cause(ctx))
		stop()
		x.finish()
		return nil, err
	}
	x.responded.Store(true)
	return rs, nil
}

// add registers an exchange. If the pool is closed or the target's requests are withdrawn,
// it cancels the exchange.
func (p *Pool) add(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.withdrawn != nil && p.withdrawn(x.target) {
		x.cancel(merry.Wrap(ErrWithdrawn))
		return
	}
	if p.active == nil {
		p.active = map[*exchange]struct{}{}
	}
	p.active[x] = struct{}{}
}

// finish releases what an exchange uses except its connection.
func (x *exchange) finish() {
	x.pool.mu.Lock()
	delete(x.pool.active, x)
	x.pool.mu.Unlock()
	x.release()
	x.cancel(nil)
}

// begin sets the connection, and reports whether the request may be written. After a
// withdrawal it may not.
func (x *exchange) begin(ctx context.Context, c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	x.conn = c
	return true
}

// Withdraw ends the exchanges with the targets that match and whose requests have not
// reached the upstream: those that have not been written at once, and after
// withdrawTimeout those without a response that are not written or not acknowledged
// completely. Until the next call, no request is sent to targets that match: Send may
// have been called for one that was chosen before. Nil matches none.
func (p *Pool) Withdraw(match func(Target) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdrawn = match
	if match == nil {
		return
	}
	for x := range p.active {
		if match(x.target) {
			x.withdraw()
		}
	}
}

// abandon ends the exchange, whose caller has left, unless its request has reached the
// upstream.
func (x *exchange) abandon() { x.abandonOnce.Do(func() { x.endAfter(abandonTimeout) }) }

// withdraw is abandon for a request whose caller still waits.
func (x *exchange) withdraw() { x.withdrawOnce.Do(func() { x.endAfter(withdrawTimeout) }) }

// endAfter ends the exchange at once if nothing was written, and otherwise after a time
// unless its request has reached the upstream by then.
func (x *exchange) endAfter(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		x.cancel(merry.Wrap(ErrWithdrawn))
		return
	}
	time.AfterFunc(d, x.endUnacknowledged)
}

// endUnacknowledged ends the exchange if it has no response and the upstream has not
// acknowledged the whole request.
func (x *exchange) endUnacknowledged() {
	if x.responded.Load() || x.allWritten.Load() && x.conn.unacknowledged() == 0 {
		return
	}
	x.cancel(merry.Wrap(ErrWithdrawn))
}

// run writes the request and reads the header of its response.
func (rs *Response) run(r Request) error {
	data := encodeRequest(r)
	if len(data)+r.bodyBytes() > maxInlineBytes {
		written := make(chan error, 1)
		rs.written = written
		go func() {
			buffers := append(net.Buffers{data}, r.Body...)
			_, err := buffers.WriteTo(rs.conn.Conn)
			rs.exchange.allWritten.Store(true)
			written <- err
		}()
	} else {
		for _, part := range r.Body {
			data = append(data, part...)
		}
		if n, err := rs.conn.Write(data); err != nil {
			if n == 0 {
				return errors.Join(ErrNotSent, err)
			}
			return errors.Join(ErrNoResponse, err)
		}
		rs.exchange.allWritten.Store(true)
	}
	for range maxStaleResponses + 1 {
		res, err := rs.readHead(r.Method)
		if err != nil {
			return rs.readError(err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.Accept == nil || r.Accept(res, rs.conn.used) {
			rs.Response = res
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStaleBodyBytes))
		if err != nil {
			return rs.readError(err)
		}
		if n == maxStaleBodyBytes || res.Close {
			return errors.Join(ErrNoResponse, ErrMalformed)
		}
	}
	return errors.Join(ErrNoResponse, ErrMalformed)
}

// readHead reads the head of a response to a request with the given method.
func (rs *Response) readHead(method string) (*http.Response, error) {
	c := rs.conn
	before, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.ExpectHead(before); err != nil {
		return nil, err
	}
	c.head.set(rs.exchange.pool.headBytes())
	defer c.head.clear()
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := fgheader.CheckResponse(res); err != nil {
		return nil, err
	}
	fgheader.CheckTrailer(res)
	return res, nil
}

// readError returns the error of an exchange whose response could not be read. It
// is ErrMalformed unless the connection broke.
func (rs *Response) readError(err error) error {
	if rs.conn.head.broken {
		return errors.Join(ErrNoResponse, err)
	}
	return errors.Join(ErrNoResponse, ErrMalformed, err)
}

// encodeRequest returns the request line and header of an HTTP/1.1 request. The
// slice has capacity for a short body to be appended.
func encodeRequest(r Request) []byte {
	var b bytes.Buffer
	n := r.bodyBytes()
	b.Grow(512 + min(n, maxInlineBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b)
	if n > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(n))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Close ends the exchange. The connection goes back to the pool for idleTimeout
// (zero means the default) if complete is true, which means that the body was read
// to its end, and the connection can carry another request. If the exchange is complete
// and the connection cannot, it is closed. Otherwise, it is reset.
func (rs *Response) Close(complete bool, idleTimeout time.Duration) {
	// The cancellation of the exchange must not reset the connection of the next one.
	complete = rs.stop() && complete && rs.isWritten()
	if !complete {
		// Closing the body first would read it to its end.
		rs.conn.end(false)
	}
	_ = rs.Body.Close()
	rs.exchange.finish()
	if !complete || rs.Response.Close || rs.ContentLength < -1 || rs.conn.reader.Buffered() > 0 || rs.isUnframed() {
		rs.conn.end(complete)
		return
	}
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	} else {
		idleTimeout = max(idleTimeout-idleMargin, idleTimeout/2)
	}
	rs.conn.expires = time.Now().Add(idleTimeout)
	rs.exchange.pool.put(rs.exchange.target.key(), rs.conn)
}

// isUnframed reports whether the body has no length and ends when the connection is
// closed.
func (rs *Response) isUnframed() bool { return rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 }

// isWritten reports whether the request was written completely.
func (rs *Response) isWritten() bool {
	if rs.written == nil {
		return true
	}
	select {
	case err := <-rs.written:
		return err == nil
	default:
		return false
	}
}
