package fgentry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// Guards against a watch that responds without a change, and against one that
// misses a change.
func TestWatchResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{}, &fgstandin.Platform{}, nil, logr.Discard())
		_, tag := e.watchResources(t.Context(), fgapi.KindWorkspace, "", "")
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if _, same := e.watchResources(ctx, fgapi.KindWorkspace, "", tag); same != tag || time.Since(start) != 3*time.Second {
			t.Errorf("without a change: tag %s after %s, want %s after 3s", same, time.Since(start), tag)
		}
		start = time.Now()
		go func() {
			time.Sleep(time.Second)
			_, err := e.config.Submit(t.Context(), "c", func(*fgconfig.Snapshot) (json.RawMessage, error) {
				return json.Marshal(fgconfig.Change{Put: []fgapi.Resource{{Kind: fgapi.KindWorkspace, Metadata: fgapi.Metadata{Name: "a"}, Spec: &fgapi.WorkspaceSpec{}}}})
			})
			if err != nil {
				t.Error(err)
			}
		}()
		body, other := e.watchResources(t.Context(), fgapi.KindWorkspace, "", tag)
		if other == tag || !strings.Contains(string(body), `"name":"a"`) || time.Since(start) != time.Second {
			t.Errorf("after a change: %s after %s", body, time.Since(start))
		}
	})
}

// Guards against accepting a change of which a part would be ignored.
func TestReadChange(t *testing.T) {
	tests := []struct{ name, body, want string }{
		{"unknown field", `{"changeId":"c","puts":[]}`, `the change cannot be read: json: unknown field "puts"`},
		{"too large", `{"changeId":"` + strings.Repeat("c", maxChangeBytes) + `"}`, "the change has more than 131072 bytes; split it"},
		{"no id", `{"put":[]}`, "changeId has 0 bytes; accepted are 1 to 64"},
		{"empty", `{"changeId":"c"}`, "the change is empty; accepted is at least one resource in put or delete"},
		{"unknown field of a resource", `{"changeId":"c","put":[{"apiVersion":"filbertgap/v1","kind":"Workspace","metadata":{"name":"a"},"spec":{"requestsPerSecond":1,"burst":1,"brust":2}}]}`,
			"put:1: Workspace/a: spec.brust is not a field; accepted is one of requestsPerSecond, burst, weight"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, err := readChange(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tt.body)))
			if err == nil || err.Error() != tt.want {
				t.Errorf("got %v, want %s", err, tt.want)
			}
		})
	}
}
