package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// kept is a client's connection to a gateway.
type kept struct {
	record  *record
	gateway *gateway
	conn    net.Conn
	reader  *bufio.Reader
}

func dial(r *record, g *gateway) (*kept, error) {
	c, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{record: r, gateway: g, conn: c, reader: bufio.NewReader(c)}, nil
}

func (k *kept) close() { _ = k.conn.Close() }

// outcome is the end of a request. Status is 0 if it has none: the connection was
// closed or the deadline passed.
type outcome struct {
	attempt string
	status  int
	took    time.Duration
	reason  string
}

var attempts atomic.Int64

// send sends a request and waits for its answer until the client's deadline.
func (k *kept) send(method, path, key, body string, deadline time.Duration) outcome {
	o := outcome{attempt: fmt.Sprintf("a%07x", attempts.Add(1))}
	start := time.Now()
	k.record.add("request %s (%s %s) is sent to %s", o.attempt, method, path, k.gateway.name)
	_ = k.conn.SetDeadline(start.Add(deadline))
	head := message("request.tmpl", map[string]any{
		"Method": method, "Path": path, "Attempt": o.attempt, "Object": path, "DeadlineMs": deadline.Milliseconds(), "Key": key, "Length": len(body),
	})
	request := strings.ReplaceAll(string(head), "\n", "\r\n") + body
	_, err := io.WriteString(k.conn, request)
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(k.reader, &http.Request{Method: method})
	}
	if err == nil {
		o.status = res.StatusCode
		_, err = io.Copy(io.Discard, res.Body)
	}
	o.took = time.Since(start)
	if err != nil {
		o.status, o.reason = 0, err.Error()
		if e, ok := err.(net.Error); ok && e.Timeout() {
			o.reason = "the client's deadline passed"
		}
		k.record.add("request %s has no answer after %d ms: %s", o.attempt, o.took.Milliseconds(), o.reason)
	} else {
		k.record.add("request %s is answered with %d after %d ms", o.attempt, o.status, o.took.Milliseconds())
	}
	return o
}

// sendNew sends a request on a new connection.
func sendNew(r *record, g *gateway, method, path, key, body string, deadline time.Duration) outcome {
	k, err := dial(r, g)
	if err != nil {
		r.add("a connection to %s failed: %v", g.name, err)
		return outcome{reason: err.Error()}
	}
	defer k.close()
	return k.send(method, path, key, body, deadline)
}
