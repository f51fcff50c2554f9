package fgjournal

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// Guards against heads that exceed the platform's limit of 1 MiB, with ids of
// maximum length and either many tiny or a few large entries.
func TestHeadStaysBelowPlatformLimit(t *testing.T) {
	tests := []struct{ size, entries int }{{1, 9000}, {MaxPayloadBytes - 2, 50}}
	for _, tt := range tests {
		var h Head
		for i := range tt.entries {
			payload := json.RawMessage(`"` + strings.Repeat("x", tt.size) + `"`)
			if h.Full(payload) {
				h = h.Compact(SnapshotRef{ID: strings.Repeat("i", 64), Generation: h.Generation, Parts: 1})
			}
			h = h.Append(fmt.Sprintf("%064d", i), payload)
			if i%50 != 49 {
				continue
			}
			if data, err := json.Marshal(h); err != nil || len(data) > 1<<20 || !h.Valid() {
				t.Fatalf("payloads of %d bytes: the head has %d bytes, error %v", tt.size, len(data), err)
			}
		}
	}
}
