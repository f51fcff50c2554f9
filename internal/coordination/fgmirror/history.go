package fgmirror

import "github.com/filbertgap/filbertgap/internal/coordination/fgstore"

const (
	// maxHistoryEvents and maxHistoryBytes bound the changes that are kept for
	// followers. One that lags further behind gets a whole copy.
	maxHistoryEvents = 4096
	maxHistoryBytes  = 4 << 20
)

// history holds the latest changes of the copy.
type history struct {
	batches []historyBatch
	// start is the position after which the changes are complete. All are of its era.
	start  fgstore.Position
	events int
	bytes  int
	// changed is closed at the next change.
	changed chan struct{}
}

// historyBatch holds changes after which the copy had a revision.
type historyBatch struct {
	events   []fgstore.Event
	revision uint64
	bytes    int
}

func newHistory() history { return history{changed: make(chan struct{})} }

func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// reset forgets all changes, because the copy was replaced.
func (h *history) reset(p fgstore.Position) {
	h.batches, h.start, h.events, h.bytes = nil, p, 0, 0
	h.notify()
}

// add appends changes and drops the oldest ones above the limits.
func (h *history) add(events []fgstore.Event, revision uint64) {
	b := historyBatch{events: events, revision: revision}
	for _, e := range events {
		b.bytes += len(e.Key) + len(e.Data)
	}
	h.batches = append(h.batches, b)
	h.events += len(b.events)
	h.bytes += b.bytes
	drop := 0
	for ; drop < len(h.batches)-1 && (h.events > maxHistoryEvents || h.bytes > maxHistoryBytes || len(h.batches)-drop > maxHistoryEvents); drop++ {
		h.start.Revision = h.batches[drop].revision
		h.events -= len(h.batches[drop].events)
		h.bytes -= h.batches[drop].bytes
	}
	h.batches = h.batches[drop:]
	h.notify()
}

// after returns the changes after a position. It reports false if they are not
// complete.
func (h *history) after(p fgstore.Position) ([]fgstore.Event, bool) {
	if p.Before(h.start) {
		return nil, false
	}
	var events []fgstore.Event
	for _, b := range h.batches {
		if b.revision > p.Revision {
			events = append(events, b.events...)
		}
	}
	return events, true
}
