// Package fgstandin provides in-memory stand-ins for the platform's key-value
// service and VM list, for upstreams and for the network. Tests and the dev and
// standin commands use them; an entry never does.
package fgstandin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

// Faults selects the faults that a Platform simulates. The zero value selects
// none.
type Faults struct {
	// Down makes every call fail with fgstore.ErrUnavailable.
	Down bool `json:"down"`
	// Silent leaves every call without a response until its context ends.
	Silent bool `json:"silent"`
	// DelayMillis delays the effect of every call, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is the number of further calls of CompareAndSwap that take effect
	// but whose responses are lost.
	LoseAnswers int `json:"loseAnswers"`
	// StaleReads is the number of further calls of Get that return the previous
	// value of a key instead of its current one.
	StaleReads int `json:"staleReads"`
	// DelayWrites is the number of further calls of CompareAndSwap whose responses
	// are lost and that are applied DelayWriteMillis later, if the revision of the
	// key still matches then.
	DelayWrites      int   `json:"delayWrites"`
	DelayWriteMillis int64 `json:"delayWriteMillis"`
	// LateWatchMillis delays the events of watches, in milliseconds.
	LateWatchMillis int64 `json:"lateWatchMillis"`
	// WritesPerSecond and ReadsPerSecond are rates above which calls fail with
	// fgstore.ErrUnavailable. Zero means no limit.
	WritesPerSecond int `json:"writesPerSecond"`
	ReadsPerSecond  int `json:"readsPerSecond"`
}

// Platform is an in-memory key-value service and VM list. The zero value is
// ready to use.
type Platform struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]fgstore.Value
	// previous holds the overwritten value of each key, for StaleReads.
	previous map[string]fgstore.Value
	// changed is closed at the next change of values or faults.
	changed chan struct{}
	vms     []fgstore.VM
	faults  Faults
	calls   uint64
	reads   rateWindow
	writes  rateWindow
	leases  map[uint64]*lease
	lastID  uint64
}

// rateWindow counts the calls within one second.
type rateWindow struct {
	start time.Time
	count int
}

// exceeds counts a call and reports whether it is above the rate.
func (w *rateWindow) exceeds(perSecond int) bool {
	if perSecond == 0 {
		return false
	}
	if time.Since(w.start) >= time.Second {
		*w = rateWindow{start: time.Now()}
	}
	w.count++
	return w.count > perSecond
}

type callKind int

const (
	readCall callKind = iota
	writeCall
)

var (
	_ fgstore.Store    = (*Platform)(nil)
	_ fgstore.VMLister = (*Platform)(nil)
)

// SetFaults replaces the selected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notify()
}

// Calls returns the number of calls so far. A watch counts once, however long it
// waits.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []fgstore.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

// ListVMs returns the VM list.
func (p *Platform) ListVMs(ctx context.Context) ([]fgstore.VM, error) {
	if _, err := p.startCall(ctx, readCall); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.vms), nil
}

// Get returns the value of a key.
func (p *Platform) Get(ctx context.Context, key string) (fgstore.Value, error) {
	if _, err := p.startCall(ctx, readCall); err != nil {
		return fgstore.Value{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.previous[key]; ok && p.faults.StaleReads > 0 {
		p.faults.StaleReads--
		return old, nil
	}
	v, ok := p.values[key]
	if !ok {
		return fgstore.Value{}, fgstore.ErrNotFound
	}
	return v, nil
}

// CompareAndSwap writes the value of a key if its revision is the expected one.
// Revision 0 means that the key does not exist.
func (p *Platform) CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) (uint64, error) {
	if len(data) > fgstore.MaxValueBytes {
		return 0, fgstore.ErrTooLarge
	}
	if _, err := p.startCall(ctx, writeCall); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DelayWrites > 0 {
		p.faults.DelayWrites--
		time.AfterFunc(time.Duration(p.faults.DelayWriteMillis)*time.Millisecond, func() { p.applyDelayedWrite(key, expected, data) })
		return 0, fgstore.ErrUnknown
	}
	if p.values[key].Revision != expected {
		return 0, fgstore.ErrConflict
	}
	p.write(fgstore.Value{Key: key, Data: slices.Clone(data)})
	if p.loseResponse() {
		return 0, fgstore.ErrUnknown
	}
	return p.revision, nil
}

// Range returns the keys with a prefix, in order.
func (p *Platform) Range(ctx context.Context, prefix string) ([]string, error) {
	if _, err := p.startCall(ctx, readCall); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := []string{}
	for k := range p.values {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

// Delete removes a key if its revision is the expected one.
func (p *Platform) Delete(ctx context.Context, key string, expected uint64) error {
	if _, err := p.startCall(ctx, writeCall); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.values[key]
	if !ok {
		return fgstore.ErrNotFound
	}
	if old.Revision != expected {
		return fgstore.ErrConflict
	}
	delete(p.values, key)
	delete(p.previous, key)
	p.notify()
	return nil
}

// Watch waits until the revision of a key is above after.
func (p *Platform) Watch(ctx context.Context, key string, after uint64) (fgstore.Value, error) {
	if _, err := p.startCall(ctx, readCall); err != nil {
		return fgstore.Value{}, err
	}
	for {
		p.mu.Lock()
		v, ok := p.values[key]
		f := p.faults
		changed := p.changeChan()
		p.mu.Unlock()
		if f.Down {
			return fgstore.Value{}, fgstore.ErrUnavailable
		}
		if ok && v.Revision > after {
			return v, fgtimer.Wait(ctx, time.Duration(f.LateWatchMillis)*time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return fgstore.Value{}, ctx.Err()
		case <-changed:
		}
	}
}

// startCall counts a call and simulates the faults that precede its effect.
func (p *Platform) startCall(ctx context.Context, kind callKind) (Faults, error) {
	p.mu.Lock()
	p.calls++
	f := p.faults
	unavailable := f.Down
	if kind == writeCall {
		unavailable = unavailable || p.writes.exceeds(f.WritesPerSecond)
	} else {
		unavailable = unavailable || p.reads.exceeds(f.ReadsPerSecond)
	}
	p.mu.Unlock()
	if unavailable {
		return f, fgstore.ErrUnavailable
	}
	if f.Silent {
		<-ctx.Done()
		return f, fgstore.ErrUnknown
	}
	if err := fgtimer.Wait(ctx, time.Duration(f.DelayMillis)*time.Millisecond); err != nil {
		return f, fgstore.ErrUnknown
	}
	return f, nil
}

// applyDelayedWrite writes a value if the revision of its key still matches.
func (p *Platform) applyDelayedWrite(key string, expected uint64, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values[key].Revision == expected {
		p.write(fgstore.Value{Key: key, Data: slices.Clone(data)})
	}
}

// write stores a value under the next revision. The caller holds mu.
func (p *Platform) write(v fgstore.Value) {
	if p.values == nil {
		p.values = map[string]fgstore.Value{}
		p.previous = map[string]fgstore.Value{}
	}
	if old, ok := p.values[v.Key]; ok {
		p.previous[v.Key] = old
	}
	p.revision++
	v.Revision = p.revision
	p.values[v.Key] = v
	p.notify()
}

// loseResponse reports whether the response to a write is lost, and counts it.
// The caller holds mu.
func (p *Platform) loseResponse() bool {
	if p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

// changeChan returns a channel that is closed at the next change. The caller holds
// mu.
func (p *Platform) changeChan() <-chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func (p *Platform) notify() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}
