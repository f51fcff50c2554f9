package fgcommand

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptWithdraw implements "withdraw WITHIN KEYID HEADER:VALUE SLOW URL...". It
// opens a connection to each URL, starts a request to SLOW on another connection
// and withdraws the key. Within the time, the open connections must respond with
// 401 and the slow request must end without success.
func scriptWithdraw(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[0])
	ts.Check(err)
	name, value, _ := strings.Cut(args[2], ":")
	slow := make(chan int, 1)
	go func() {
		status, _ := getReused(&http.Client{Transport: &http.Transport{}}, args[3], name, value)
		slow <- status
	}()
	clients := make([]*http.Client, len(args[4:]))
	for i, url := range args[4:] {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		if status, _ := getReused(clients[i], url, name, value); status != http.StatusOK {
			ts.Fatalf("%s responds with %d before the withdrawal", url, status)
		}
	}
	ts.Check(ts.Exec("filbertgap", "key", "withdraw", args[1]))
	begin := time.Now()
	for i, url := range args[4:] {
		for {
			status, reused := getReused(clients[i], url, name, value)
			if !reused {
				ts.Fatalf("%s: the connection was not kept open", url)
			}
			if status == http.StatusUnauthorized {
				ts.Logf("%s refused the key after %v", url, time.Since(begin))
				break
			}
			if time.Since(begin) > within {
				ts.Fatalf("%s responds with %d after %v", url, status, within)
			}
			time.Sleep(pollInterval)
		}
	}
	select {
	case status := <-slow:
		ts.Logf("the slow request ended after %v with status %d", time.Since(begin), status)
		if status == http.StatusOK {
			ts.Fatalf("the slow request succeeded")
		}
	case <-time.After(within - time.Since(begin)):
		ts.Fatalf("the slow request still runs after %v", within)
	}
}

// getReused sends a GET. It returns the status, 0 if there is no response, and
// whether the request was sent on a reused connection.
func getReused(c *http.Client, url, header, value string) (status int, reused bool) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.Header.Set(header, value)
	res, err := c.Do(req)
	if err != nil {
		return 0, reused
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, reused
}

// scriptKeyID implements "keyid NAME KEYNAME": it sets the environment variable
// NAME to the id of the key in the environment variable KEYNAME.
func scriptKeyID(ts *testscript.TestScript, _ bool, args []string) {
	parts := strings.Split(ts.Getenv(args[1]), "_")
	if len(parts) != 3 {
		ts.Fatalf("%s holds no key", args[1])
	}
	ts.Setenv(args[0], parts[1])
}

// scriptSteady implements "steady FOR STATUS URL HEADER:VALUE": it sends requests
// for a time and checks that each of them gets the status.
func scriptSteady(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(pollInterval) {
		status, body, err := fetch(ts, []string{args[1], http.MethodGet, args[2], args[3]})
		ts.Check(err)
		if strconv.Itoa(status) != args[1] {
			ts.Fatalf("status is %d after %v: %s", status, time.Since(begin), body)
		}
	}
}
