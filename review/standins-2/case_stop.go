package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// answerBytes is the size of an answer, the largest on the sheet of the class whose
	// clients send requests ahead.
	answerBytes = 9000
	// windowBytes is the receive buffer of a client.
	windowBytes = 4096
	// readBytes is what a client reads each readInterval.
	readBytes    = 1024
	readInterval = 20 * time.Millisecond
	// aheadDelay is how long after a request a client sends the next one.
	aheadDelay = 30 * time.Millisecond
)

// pipelinedStop stops a gateway while clients that send requests ahead use it.
func pipelinedStop(e *env) error {
	if err := e.start(newConfiguration(7)); err != nil {
		return err
	}
	whole := bytes.Repeat([]byte("0123456789"), answerBytes/10)
	var servers []*server
	for i := range 3 {
		s, err := newServer(e, fmt.Sprintf("i-cat%d", i), "catalogue", "nairobi-a", 24)
		if err != nil {
			return err
		}
		s.setWork(func(ctx context.Context, _ call) reply {
			select {
			case <-time.After(500 * time.Millisecond):
			case <-ctx.Done():
			}
			return reply{status: http.StatusOK, body: whole}
		})
		servers = append(servers, s)
	}
	if _, err := newServer(e, "i-ord0", "orders", "nairobi-a", 6); err != nil {
		return err
	}
	g, err := e.startGateway("front-nairobi-a-1", "nairobi-a")
	if err != nil {
		return err
	}
	if _, err := e.startGateway("front-nairobi-b-1", "nairobi-b"); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	addresses, err := g.resolve()
	if err != nil {
		return err
	}
	e.record.add("clients: the directory names %v, for 2 s", addresses)
	if !slices.Contains(addresses, g.front) {
		return errors.New("the directory does not name the gateway")
	}
	if e.trouble {
		g.signal(syscall.SIGTERM)
	}
	time.Sleep(300 * time.Millisecond)
	const clients = 10
	type result struct {
		id  string
		err error
	}
	results := make(chan result, clients)
	for range clients {
		go func() {
			id := newAttempt()
			results <- result{id, pipelineClient(e, g.front, id, whole)}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	broken := 0
	for range clients {
		r := <-results
		if r.err != nil && !errors.Is(r.err, errBroken) {
			return r.err
		}
		if r.err != nil && slices.ContainsFunc(servers, func(s *server) bool { return s.ran(r.id) > 0 }) {
			broken++
		}
	}
	e.record.add("%d of %d first requests were passed on to a server and got no complete answer", broken, clients)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// resolve asks the gateway's directory for addresses.
func (g *gateway) resolve() ([]string, error) {
	res, err := http.Get("http://" + g.directory + wire.Resolve + "?name=kits.example&region=" + g.region + "&zone=" + g.zone)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	return body.Addresses, errors.Join(json.NewDecoder(res.Body).Decode(&body))
}

// pipelineClient sends a request with the id first, and a second one behind it on one connection with a small
// window, and reads slowly. It returns errBroken if the first request gets no complete
// answer.
func pipelineClient(e *env, address, first string, want []byte) error {
	c, err := dialWithWindow(address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	second := newAttempt()
	e.record.add("client: sends %s", first)
	if _, err := io.WriteString(c, requestText("GET", "/read/kit", "key-schools", first)); err != nil {
		return err
	}
	time.Sleep(aheadDelay)
	e.record.add("client: sends %s behind %s", second, first)
	if _, err := io.WriteString(c, requestText("GET", "/read/kit", "key-schools", second)); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(clientTime))
	res, err := http.ReadResponse(bufio.NewReaderSize(slowReader{c}, readBytes), nil)
	if err != nil {
		e.record.add("client: %s got no answer: %v", first, err)
		return errBroken
	}
	body, err := io.ReadAll(res.Body)
	e.record.add("client: %s got status %d, signature %q, %d of %d bytes, error %v", first, res.StatusCode, res.Header.Get(wire.Signature), len(body), len(want), err)
	if err != nil || res.StatusCode == http.StatusOK && !bytes.Equal(body, want) {
		return errBroken
	}
	return nil
}

// dialWithWindow opens a connection with a small receive window.
func dialWithWindow(address string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		return errors.Join(controlErr, err)
	}}
	return d.Dial("tcp", address)
}

// slowReader reads readBytes each readInterval.
type slowReader struct{ conn net.Conn }

func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(readInterval)
	return r.conn.Read(b[:min(len(b), readBytes)])
}
