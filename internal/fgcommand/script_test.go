package fgcommand

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// pollTimeout bounds how long a script waits for an expected answer.
	pollTimeout = 20 * time.Second
	// pollInterval separates the attempts.
	pollInterval = 20 * time.Millisecond
	fetchTimeout = 5 * time.Second
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"filbertgap": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scenarios under testdata/script, with each part of the
// system as a process of its own on loopback.
func TestScripts(t *testing.T) {
	var network atomic.Int64
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			// Each script listens on addresses of its own, so that fixed ports
			// never clash between scripts.
			e.Setenv("NET", fmt.Sprintf("127.10.%d", network.Add(1)))
			// The race detector otherwise sleeps 1 s at the end of each process.
			e.Setenv("GORACE", "atexit_sleep_ms=50")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fetch":      scriptFetch,
			"poll":       scriptPoll,
			"withdraw":   scriptWithdraw,
			"keyid":      scriptKeyID,
			"steady":     scriptSteady,
			"envsubst":   scriptEnvsubst,
			"setenvfile": scriptSetenvFile,
		},
	})
}

// scriptFetch implements "fetch STATUS METHOD URL [HEADER:VALUE | @BODY]...".
// The answer's body becomes the file "answer".
func scriptFetch(ts *testscript.TestScript, neg bool, args []string) {
	status, body, err := fetch(ts, args)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("answer"), body, 0o600))
	if matched := fmt.Sprint(status) == args[0]; matched == neg {
		ts.Fatalf("status is %d, body: %s", status, body)
	}
}

// scriptPoll implements "poll TEXT STATUS METHOD URL ...": it repeats a fetch
// until the status matches and the body contains the text.
func scriptPoll(ts *testscript.TestScript, neg bool, args []string) {
	deadline := time.Now().Add(pollTimeout)
	for {
		status, body, err := fetch(ts, args[1:])
		matched := err == nil && fmt.Sprint(status) == args[1] && strings.Contains(string(body), args[0])
		if matched != neg {
			ts.Check(os.WriteFile(ts.MkAbs("answer"), body, 0o600))
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("status is %d, error %v, body: %s", status, err, body)
		}
		time.Sleep(pollInterval)
	}
}

// scriptSetenvFile implements "setenvfile NAME FILE".
func scriptSetenvFile(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile(args[1])))
}

// scriptEnvsubst implements "envsubst FILE": it replaces $NAME in a file.
func scriptEnvsubst(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

func fetch(ts *testscript.TestScript, args []string) (int, []byte, error) {
	if len(args) < 3 {
		ts.Fatalf("usage: STATUS METHOD URL [HEADER:VALUE | @BODY]...")
	}
	var body io.Reader
	header := http.Header{}
	for _, a := range args[3:] {
		if text, ok := strings.CutPrefix(a, "@"); ok {
			body = strings.NewReader(text)
			continue
		}
		name, value, _ := strings.Cut(a, ":")
		header.Add(name, value)
	}
	req, err := http.NewRequest(args[1], args[2], body)
	ts.Check(err)
	req.Header = header
	client := http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}
