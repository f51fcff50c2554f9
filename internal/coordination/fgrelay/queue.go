package fgrelay

import (
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	// maxQueueAge is how old a state may be when it is passed on. An older one has
	// been kept by a relay that was frozen.
	maxQueueAge = time.Second
	// maxQueued bounds the states that wait to be passed on.
	maxQueued = 4096
)

// Queue holds the states that a relay passes on in its next round. The zero value is
// ready to use. It is not safe for concurrent use.
type Queue[T any] struct {
	items []queued[T]
}

type queued[T any] struct {
	state T
	size  int
	added time.Time
}

// Add appends a state that is size bytes long.
func (q *Queue[T]) Add(state T, size int) {
	if len(q.items) < maxQueued {
		q.items = append(q.items, queued[T]{state: state, size: size, added: time.Now()})
	}
}

// Take removes all states and returns those that are not too old, in batches of at
// most maxBytes.
func (q *Queue[T]) Take(maxBytes int) [][]T {
	var batches [][]T
	size := 0
	for _, item := range q.items {
		if fgtimer.Since(item.added) > maxQueueAge {
			continue
		}
		if len(batches) == 0 || size+item.size > maxBytes {
			batches = append(batches, nil)
			size = 0
		}
		last := len(batches) - 1
		batches[last] = append(batches[last], item.state)
		size += item.size
	}
	clear(q.items)
	q.items = q.items[:0]
	return batches
}
