package fgcommand

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// pollTimeout limits how long a script waits for an expected response.
	pollTimeout = 20 * time.Second
	// pollInterval is the pause between the requests of a wait.
	pollInterval = 20 * time.Millisecond
	fetchTimeout = 5 * time.Second
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"filbertgap": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
		"request":    requestMain,
	})
}

// requestMain implements the program "request URL", which scripts run in the
// background. It prints the status and length of the response.
func requestMain() {
	client := http.Client{Timeout: fetchTimeout}
	res, err := client.Get(os.Args[1])
	if err == nil {
		var n int64
		n, err = io.Copy(io.Discard, res.Body)
		fmt.Printf("status %d, %d bytes\n", res.StatusCode, n)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// TestScripts runs the scenarios under testdata/script. Each entry, gateway and
// stand-in is a separate process on loopback.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			network, claim, err := claimNetwork()
			if err != nil {
				return err
			}
			e.Defer(func() { _ = claim.Close() })
			e.Setenv("NET", network)
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
			"exits":      scriptExits,
			"cert":       scriptCert,
			"atmost":     scriptAtMost,
		},
	})
}

// claimNetwork reserves a loopback network, so that scripts can use fixed ports
// without conflicts with other scripts, also those of other test processes on the
// machine. It returns the first three bytes of the network's addresses, and a
// listener that holds the reservation.
func claimNetwork() (string, net.Listener, error) {
	const first, count, claimPort = 16, 200 * 256, 65000
	start := os.Getpid()
	for i := range count {
		n := (start + i) % count
		network := fmt.Sprintf("127.%d.%d", first+n/256, n%256)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.254:%d", network, claimPort))
		if err == nil {
			return network, l, nil
		}
	}
	return "", nil, errors.New("no loopback network is free")
}

// scriptFetch implements "fetch STATUS METHOD URL [HEADER:VALUE | @BODY]...".
// It writes the response body to the file "answer".
func scriptFetch(ts *testscript.TestScript, neg bool, args []string) {
	status, body, err := fetch(ts, args)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("answer"), body, 0o600))
	if matched := fmt.Sprint(status) == args[0]; matched == neg {
		ts.Fatalf("status is %d, body: %s", status, body)
	}
}

// scriptPoll implements "poll TEXT STATUS METHOD URL ...": it fetches repeatedly
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

// scriptExits implements "exits CODE PROGRAM ARGS...": it runs a program and checks
// its exit code. Its output can be matched as after exec. It fails if stderr has a
// stack trace.
func scriptExits(ts *testscript.TestScript, _ bool, args []string) {
	var exit *exec.ExitError
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code is %d, stderr: %s", code, ts.ReadFile("stderr"))
	}
	if strings.Contains(ts.ReadFile("stderr"), "goroutine ") {
		ts.Fatalf("stderr has a stack trace")
	}
}

// scriptCert implements "cert IP": it writes a self-signed certificate for an
// address to cert.pem and its key to key.pem.
func scriptCert(ts *testscript.TestScript, _ bool, args []string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(args[0])},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	ts.Check(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	ts.Check(err)
	for name, block := range map[string]*pem.Block{"cert.pem": {Type: "CERTIFICATE", Bytes: der}, "key.pem": {Type: "PRIVATE KEY", Bytes: private}} {
		ts.Check(os.WriteFile(ts.MkAbs(name), pem.EncodeToMemory(block), 0o600))
	}
}

// scriptAtMost implements "atmost N TEXT FILE...": it checks that the files
// together contain the text at most N times.
func scriptAtMost(ts *testscript.TestScript, neg bool, args []string) {
	limit, err := strconv.Atoi(args[0])
	ts.Check(err)
	n := 0
	for _, file := range args[2:] {
		n += strings.Count(ts.ReadFile(file), args[1])
	}
	ts.Logf("%d times", n)
	if (n <= limit) == neg {
		ts.Fatalf("%s occurs %d times", args[1], n)
	}
}

// scriptSetenvFile implements "setenvfile NAME FILE": it sets an environment
// variable to the trimmed text of a file.
func scriptSetenvFile(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile(args[1])))
}

// scriptEnvsubst implements "envsubst FILE": it expands $NAME in a file.
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
	// Trusts the certificate that the command cert has written, if any.
	roots := x509.NewCertPool()
	certificate, _ := os.ReadFile(ts.MkAbs("cert.pem"))
	roots.AppendCertsFromPEM(certificate)
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: roots}}
	client := http.Client{Timeout: fetchTimeout, Transport: transport}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}
