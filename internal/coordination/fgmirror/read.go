package fgmirror

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

// changesWait is the wait of a call for the changes since another gateway's copy. Most of
// them respond at once.
const changesWait = 10 * time.Millisecond

// Copy is a copy of the store.
type Copy struct {
	Values   []fgstore.Value
	Position fgstore.Position
}

// read returns all values of the store. A gateway that starts takes the copy of another
// one, if there is one, and only the changes since then from the store: the store's
// link would be busy for long if all gateways of a large fleet read everything at once.
// The store's own response shows that the copy is not outdated.
func (m *Mirror) read(ctx context.Context) (Copy, error) {
	start := time.Now()
	if m.options.Copy != nil && m.View() == nil {
		if c, ok := m.options.Copy(ctx); ok {
			events, position, err := m.changesSince(ctx, c.Position)
			if err == nil && !position.Before(c.Position) {
				m.options.Logger.Info("copy of the store taken from another gateway", "tookMs", time.Since(start).Milliseconds(),
					"values", len(c.Values), "copyRevision", c.Position.Revision, "changes", len(events), "revision", position.Revision)
				return Copy{Values: merge(c.Values, events), Position: position}, nil
			}
			m.options.Logger.Info("changes since another gateway's copy of the store not read, reading all entries", "error", err, "copyRevision", c.Position.Revision)
		}
	}
	start = time.Now()
	values, position, err := m.options.Feed.RangeValues(ctx, "")
	if err == nil {
		m.options.Logger.Info("store read", "tookMs", time.Since(start).Milliseconds(), "values", len(values), "revision", position.Revision)
	}
	return Copy{Values: values, Position: position}, err
}

// changesSince returns what the store has changed since a position.
func (m *Mirror) changesSince(ctx context.Context, p fgstore.Position) ([]fgstore.Event, fgstore.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return m.options.Feed.WatchEvents(ctx, "", p, changesWait)
}

// merge applies changes to values.
func merge(values []fgstore.Value, events []fgstore.Event) []fgstore.Value {
	byKey := make(map[string]fgstore.Value, len(values))
	for _, v := range values {
		byKey[v.Key] = v
	}
	for _, e := range events {
		if e.Deleted {
			delete(byKey, e.Key)
		} else {
			byKey[e.Key] = e.Value
		}
	}
	merged := make([]fgstore.Value, 0, len(byKey))
	for _, v := range byKey {
		merged = append(merged, v)
	}
	slices.SortFunc(merged, func(a, b fgstore.Value) int { return strings.Compare(a.Key, b.Key) })
	return merged
}
