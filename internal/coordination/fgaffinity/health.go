package fgaffinity

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// failingHalfLife is the time in which half of an upstream's failing part is forgotten
	// without results, so that it is tried again.
	failingHalfLife = 10 * time.Second
	// minFailing is the failing part below which an upstream is used as the others: single
	// failures say little.
	minFailing = 0.05
	// declineFactor is how much larger the part of its requests is that an upstream loses
	// than the part that it fails. Others run them as well, and a failed send costs a retry.
	declineFactor = 2.0
	// maxDeclined is the largest part of its requests that an upstream loses. The others
	// show when it has recovered.
	maxDeclined = 0.95
)

// failing is the part of an upstream's requests that lately failed or were refused with a
// free slot, as far as this VM and others of its zone have heard. The zero value is none.
type failing struct {
	bits atomic.Uint64
	at   atomic.Int64
}

// record records a result. u.mu is held.
func (f *failing) record(failed bool, now int64) {
	x := 0.0
	if failed {
		x = 1
	}
	part := f.part(now)
	f.bits.Store(math.Float64bits(part + failureWeight*(x-part)))
	f.at.Store(now)
}

// part returns the failing part.
func (f *failing) part(now int64) float64 {
	part := math.Float64frombits(f.bits.Load())
	if part == 0 {
		return 0
	}
	return part * math.Exp2(-float64(max(0, now-f.at.Load()))/float64(failingHalfLife))
}

// declines reports whether the upstream is left out for a request because it fails part of
// them. Whether it is depends on the key, so that keys stay where they run, or on chance if
// there is none.
func (u *Upstream) declines(c Criteria, key uint64, now int64) bool {
	part := u.failing.part(now)
	if part < minFailing {
		return false
	}
	unit := rand.Float64()
	if c.AffinityKey != "" {
		unit = float64(fmix64(key^u.instance)>>11) / (1 << 53)
	}
	return unit < min(declineFactor*part, maxDeclined)
}
