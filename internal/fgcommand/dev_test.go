package fgcommand

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

var curlLine = regexp.MustCompile(`^  curl -i -H '([^:]+): ([^']+)' (http://\S+)$`)

// Guards against a development system whose printed curl command does not work, or
// that takes more than 2 s to stop.
func TestDev(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, w := io.Pipe()
	root := newRoot()
	root.SetArgs([]string{"dev"})
	root.SetOut(w)
	root.SetErr(io.Discard)
	ended := make(chan error, 1)
	go func() {
		ended <- root.ExecuteContext(ctx)
		_ = w.Close()
	}()
	lines := bufio.NewScanner(r)
	var curl []string
	for lines.Scan() && !strings.Contains(lines.Text(), "Ctrl-C") {
		if m := curlLine.FindStringSubmatch(lines.Text()); m != nil {
			curl = m
		}
	}
	if curl == nil {
		t.Fatalf("no curl command was printed: %v", <-ended)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, curl[3], nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(curl[1], curl[2])
	client := http.Client{Timeout: fetchTimeout, Transport: &http.Transport{}}
	res, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK || !strings.Contains(string(body), "workspace="+devWorkspace) {
		t.Errorf("status %d, body %q", res.StatusCode, body)
	}
	start := time.Now()
	cancel()
	for lines.Scan() {
		t.Errorf("printed during the stop: %s", lines.Text())
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("stopped after %s", d)
	}
}
