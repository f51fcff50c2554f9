package fggossip

import (
	"strings"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// Guards against a gateway that holds the endless bytes of a peer in memory.
func TestEndlessCopyOfStore(t *testing.T) {
	tests := []struct{ name, next string }{
		{"no drpc", "garbage"},
		{"zeros", "\x00"},
		// A frame of a message that is never complete: message frame, stream 1,
		// message 1, 100 bytes.
		{"message without end", "\x04\x01\x01\x64" + strings.Repeat("x", 100)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			endless, err := fgstandin.ListenEndless("", tt.next)
			if err != nil {
				t.Fatal(err)
			}
			defer endless.Close()
			start := time.Now()
			if _, err := FetchStore(t.Context(), endless.Address(), fgstore.Position{}); err == nil {
				t.Error("a copy was fetched")
			}
			if took := time.Since(start); took > 2*callTimeout {
				t.Errorf("the call took %s", took)
			}
			// drpc limits a message to 4 MB.
			if n := endless.Taken(); n > 16<<20 {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}
