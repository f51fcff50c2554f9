// Package fgpool sends requests to upstreams over kept HTTP/1.1 connections
// and tells whether an upstream can have received any part of one. Unlike
// net/http's Transport it never sends a request a second time, and it passes
// over answers that belong to an earlier request of the connection.
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
)

const (
	// connectDefault bounds a new connection. A lost first packet is sent again
	// after a second, when another upstream is the better choice.
	connectDefault = 500 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// The keep-alive probes find a connection that went silent.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// idleDefault is how long a connection is kept if the upstream names no time.
	idleDefault = 4 * time.Second
	// idleMargin is kept from the time that the upstream names, since its close
	// may cross the next request.
	idleMargin = 1500 * time.Millisecond
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second
	// maxForeign is how many answers of earlier requests are passed over.
	maxForeign = 3
	// maxForeignBytes bounds the body of such an answer.
	maxForeignBytes = 256 << 10
	// inlineBytes is the largest request that is written before the answer is
	// read. A longer one could block on an upstream that answers early.
	inlineBytes = 16 << 10
)

// Sentinel errors of a Pool.
var (
	// ErrNotSent means that no byte of the request reached the upstream.
	ErrNotSent = merry.Sentinel("the request was not sent")
	// ErrLost means that the upstream may have run the request, and that no
	// whole answer came.
	ErrLost = merry.Sentinel("no answer came to a request that was sent")
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Accept reports whether an answer belongs to the request.
	Accept func(*http.Response) bool
}

// Target names an upstream and its address.
type Target struct {
	ID      string
	Address string
}

// Pool keeps connections to upstreams. The zero value is ready to use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn

	opened, reused atomic.Int64
	connectTimeout atomic.Int64
}

// SetConnectTimeout bounds the time that a new connection may take.
func (p *Pool) SetConnectTimeout(d time.Duration) { p.connectTimeout.Store(int64(d)) }

// Opened returns how many connections were opened, and Reused how many requests
// went over a kept one.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Reused returns how many requests went over a kept connection.
func (p *Pool) Reused() int64 { return p.reused.Load() }

// Answer is an upstream's answer. Its body must be read through Body, and Close
// called once.
type Answer struct {
	*http.Response

	pool    *Pool
	conn    *conn
	target  Target
	stop    func() bool
	written <-chan error
}

// Send sends a request to an upstream, once. The context bounds the whole
// exchange until the answer is closed. A failure is ErrNotSent or ErrLost.
func (p *Pool) Send(ctx context.Context, t Target, r Request) (*Answer, error) {
	c, err := p.connect(ctx, t)
	if err != nil {
		return nil, merry.Wrap(errors.Join(ErrNotSent, err))
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a := &Answer{pool: p, conn: c, target: t, stop: stop}
	if err := a.exchange(r); err != nil {
		stop()
		_ = c.Close()
		if cause := ctx.Err(); cause != nil {
			err = errors.Join(err, cause)
		}
		return nil, err
	}
	return a, nil
}

func (a *Answer) exchange(r Request) error {
	head := encode(r)
	if len(head)+len(r.Body) > inlineBytes {
		written := make(chan error, 1)
		a.written = written
		go func() {
			message := net.Buffers{head, r.Body}
			_, err := message.WriteTo(a.conn.Conn)
			written <- err
		}()
	} else if n, err := a.conn.Write(append(head, r.Body...)); err != nil {
		if n == 0 {
			return errors.Join(ErrNotSent, err)
		}
		return errors.Join(ErrLost, err)
	}
	for range maxForeign + 1 {
		res, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return errors.Join(ErrLost, err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.Accept == nil || r.Accept(res) {
			a.Response = res
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || res.Close {
			return errors.Join(ErrLost, err)
		}
	}
	return ErrLost
}

// encode writes the head of a request in the form of HTTP/1.1. There is room for
// a short body behind it.
func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), inlineBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Close ends the exchange. The connection is kept for idleFor (zero: a default)
// if whole is set, the answer was read to its end and nothing speaks against it.
func (a *Answer) Close(whole bool, idleFor time.Duration) {
	_ = a.Body.Close()
	keep := a.stop() && whole && !a.Response.Close && a.ContentLength >= -1 && a.conn.reader.Buffered() == 0
	if a.ContentLength < 0 && len(a.TransferEncoding) == 0 {
		// The answer ended with its connection.
		keep = false
	}
	if a.written != nil {
		select {
		case err := <-a.written:
			keep = keep && err == nil
		default:
			keep = false
		}
	}
	if !keep {
		_ = a.conn.Close()
		return
	}
	if idleFor <= 0 {
		idleFor = idleDefault
	} else {
		idleFor = max(idleFor-idleMargin, idleFor/2)
	}
	a.conn.expires = time.Now().Add(idleFor)
	a.pool.put(a.target.key(), a.conn)
}

// key tells apart programs that had an address one after the other.
func (t Target) key() string { return t.ID + "@" + t.Address }

func (p *Pool) put(key string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[key] = append(p.idle[key], c)
}

// take returns the connection that was used last.
func (p *Pool) take(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[key]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.idle[key] = all[:len(all)-1]
	return c
}

// connect returns a usable connection.
func (p *Pool) connect(ctx context.Context, t Target) (*conn, error) {
	for {
		c := p.take(t.key())
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.quiet() {
			p.reused.Add(1)
			return c, nil
		}
		_ = c.Close()
	}
	return p.open(ctx, t)
}

// open makes a new connection.
func (p *Pool) open(ctx context.Context, t Target) (*conn, error) {
	p.opened.Add(1)
	limit := time.Duration(p.connectTimeout.Load())
	if limit <= 0 {
		limit = connectDefault
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return dial(ctx, t.Address)
}

// Sign is what a new connection tells of an upstream.
type Sign int

// The signs of an upstream.
const (
	// Connected means that the upstream takes connections.
	Connected Sign = iota
	// Refused means that its VM runs, but no program listens or it takes no more
	// connections.
	Refused
	// Silent means that nothing answers at its address.
	Silent
)

// String returns the sign's name in log lines.
func (s Sign) String() string {
	names := [...]string{Connected: "connected", Refused: "refused", Silent: "silent"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Probe opens a connection to an upstream whose kept connections may be dead. It
// is kept for the next request. If nothing answers, the others are closed.
func (p *Pool) Probe(ctx context.Context, t Target) Sign {
	c, err := p.open(ctx, t)
	if err == nil {
		c.expires = time.Now().Add(idleDefault)
		p.put(t.key(), c)
		return Connected
	}
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		p.Drop(t)
		return Silent
	}
	return Refused
}

// Run closes connections that have been idle for too long, until the context
// ends.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(time.Time{})
			return ctx.Err()
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

// sweep closes connections that expired before now; all for the zero time.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if now.IsZero() || now.After(c.expires) {
				_ = c.Close()
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

// Drop closes the idle connections of an upstream that is gone.
func (p *Pool) Drop(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[t.key()] {
		_ = c.Close()
	}
	delete(p.idle, t.key())
}

var dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
	Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
}}
