package fgrelay

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// heldFor is how long a state is held for gateways that lack it.
	heldFor = 2 * time.Second
	// A gateway tells others of the states that it received between digestDelay and
	// digestDelay+digestWindow ago. Until then they arrive down the tree. The window is
	// twice the interval of digests, so that each state is named to two gateways.
	digestDelay  = 50 * time.Millisecond
	digestWindow = 2 * digestInterval
	// askAgain is the time after which a state that did not arrive is asked for again.
	askAgain = 150 * time.Millisecond
)

// Held names a state that a gateway holds.
type Held struct {
	// Key is a hash of the origin and its incarnation.
	Key uint32
	// Sequence holds the low bits of the state's sequence.
	Sequence uint32
}

// Key returns the key by which an origin's states are named.
func Key(id ID) uint32 {
	b := binary.LittleEndian.AppendUint64([]byte(id.VM), id.Incarnation)
	return uint32(xxhash.Sum64(b))
}

// recent holds the latest state of each gateway that was received within heldFor. The
// zero value is ready to use.
type recent[T any] struct {
	states map[uint32]heldState[T]
	asked  map[uint32]time.Time
	pruned time.Time
}

type heldState[T any] struct {
	id       ID
	state    T
	received time.Time
}

func (r *recent[T]) add(id ID, state T) {
	now := time.Now()
	if r.states == nil {
		r.states, r.asked = map[uint32]heldState[T]{}, map[uint32]time.Time{}
	}
	r.states[Key(id)] = heldState[T]{id: id, state: state, received: now}
	if now.Sub(r.pruned) < heldFor/2 {
		return
	}
	r.pruned = now
	for key, h := range r.states {
		if now.Sub(h.received) > heldFor {
			delete(r.states, key)
		}
	}
	for key, at := range r.asked {
		if now.Sub(at) > askAgain {
			delete(r.asked, key)
		}
	}
}

// digest calls add with each state that was received more than an age ago, within
// digestWindow.
func (r *recent[T]) digest(age time.Duration, add func(origin string, h Held)) {
	now := time.Now()
	for key, h := range r.states {
		if a := now.Sub(h.received); a > age && a <= age+digestWindow {
			add(h.id.VM, Held{Key: key, Sequence: uint32(h.id.Sequence)})
		}
	}
}

// missing returns the keys of those states that are not held, or only an earlier one, and
// were not asked for just now.
func (r *recent[T]) missing(held []Held) []uint32 {
	now := time.Now()
	var keys []uint32
	for _, h := range held {
		// Sequences are compared modulo 2^32.
		if own, ok := r.states[h.Key]; ok && int32(h.Sequence-uint32(own.id.Sequence)) <= 0 {
			continue
		}
		if at, ok := r.asked[h.Key]; ok && now.Sub(at) < askAgain {
			continue
		}
		if r.asked == nil {
			r.asked = map[uint32]time.Time{}
		}
		r.asked[h.Key] = now
		keys = append(keys, h.Key)
	}
	return keys
}

// get returns the states that are asked for.
func (r *recent[T]) get(keys []uint32) []T {
	var states []T
	for _, key := range keys {
		if h, ok := r.states[key]; ok {
			states = append(states, h.state)
		}
	}
	return states
}
