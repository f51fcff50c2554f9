package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// clientTime is how long a client waits for an answer.
const clientTime = 4 * time.Second

var lastAttempt atomic.Int64

// newAttempt returns a new Attempt-Id.
func newAttempt() string { return fmt.Sprintf("a%015x", lastAttempt.Add(1)) }

// requestText returns the bytes of a request without a body.
func requestText(method, uri, key, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: kits.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n", method, uri, id, clientTime.Milliseconds(), key)
}

// get sends a request with a key to a gateway, and returns its id and the status, or 0 if
// there is no answer.
func (g *gateway) get(uri, key string) (id string, status int) {
	id = newAttempt()
	req, err := http.NewRequest(http.MethodGet, "http://"+g.front+uri, nil)
	if err != nil {
		return id, 0
	}
	req.Host = "kits.example"
	req.Header.Set(wire.Attempt, id)
	req.Header.Set(wire.Deadline, fmt.Sprint(clientTime.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	c := http.Client{Timeout: clientTime}
	res, err := c.Do(req)
	if err != nil {
		return id, 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return id, res.StatusCode
}
