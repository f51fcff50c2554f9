package fgcommand

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a wait that ends while a status is being read and forgets the
// status before: the operator would not learn which VM lacks the change.
func TestWaitKeepsLastStatus(t *testing.T) {
	tests := []struct {
		name string
		// last responds to the second status request.
		last http.HandlerFunc
		want string
	}{
		{"the operator's address stalls", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "context deadline exceeded"},
		{"the VM refuses", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }, "status 401"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			statuses := 0
			mux := http.NewServeMux()
			mux.HandleFunc("POST /v1/changes", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, `{"generation":5}`)
			})
			mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
				if statuses++; statuses > 1 {
					tt.last(w, r)
					return
				}
				_, _ = io.WriteString(w, `{"generation":5,"status":{"inForce":1,"members":2,"missing":["vm-2"]}}`)
			})
			s := httptest.NewServer(mux)
			defer s.Close()
			token := filepath.Join(t.TempDir(), "token")
			if err := os.WriteFile(token, []byte("secret"), 0o600); err != nil {
				t.Fatal(err)
			}
			var stderr bytes.Buffer
			code := Run([]string{"delete", "workspace", "w", "--wait", "--timeout", "1s", "--operator", s.URL, "--operator-token-file", token}, io.Discard, &stderr)
			if code == exitOK {
				t.Error("the command succeeded")
			}
			for _, want := range []string{"in force on 1 of 2 VMs, missing vm-2", tt.want} {
				if !strings.Contains(stderr.String(), want) {
					t.Errorf("stderr is %q, want %q in it", stderr.String(), want)
				}
			}
		})
	}
}
