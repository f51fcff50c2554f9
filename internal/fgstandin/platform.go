// Package fgstandin provides small stand-ins for the outside systems: the
// platform's key-value service and VM list, and upstreams. They are used by
// tests and by the dev command, never by an entry.
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

// Faults selects how the stand-in platform misbehaves. The zero value is a
// service without faults.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Silent never answers a call.
	Silent bool `json:"silent"`
	// DelayMillis is added before each answer, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is the number of coming writes that take effect but whose
	// answers are lost.
	LoseAnswers int `json:"loseAnswers"`
	// StaleReads is the number of coming reads that return the value before
	// the newest one.
	StaleReads int `json:"staleReads"`
	// DelayWrites is the number of coming writes whose answers are lost and that
	// take effect, if they still can, only DelayWriteMillis later.
	DelayWrites      int   `json:"delayWrites"`
	DelayWriteMillis int64 `json:"delayWriteMillis"`
	// LateWatchMillis delays the events of watches, in milliseconds.
	LateWatchMillis int64 `json:"lateWatchMillis"`
	// WritesPerSecond and ReadsPerSecond refuse calls above a rate. Zero means no
	// limit.
	WritesPerSecond int `json:"writesPerSecond"`
	ReadsPerSecond  int `json:"readsPerSecond"`
}

// Platform is an in-memory key-value service and VM list. The zero value is
// ready to use.
type Platform struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]fgstore.Value
	previous map[string]fgstore.Value
	changed  chan struct{}
	vms      []fgstore.VM
	faults   Faults
	calls    uint64
	reads    window
	writes   window
	leases   map[uint64]*lease
	lastID   uint64
}

// window counts the calls of one second.
type window struct {
	begin time.Time
	count int
}

// exceeds counts a call and reports whether it is above the rate.
func (w *window) exceeds(perSecond int) bool {
	if perSecond == 0 {
		return false
	}
	if time.Since(w.begin) >= time.Second {
		*w = window{begin: time.Now()}
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

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notify()
}

// Calls returns the number of calls so far; a waiting watch counts as one.
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
	if _, err := p.enter(ctx, readCall); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.vms), nil
}

// Get returns a value.
func (p *Platform) Get(ctx context.Context, key string) (fgstore.Value, error) {
	if _, err := p.enter(ctx, readCall); err != nil {
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

// CompareAndSwap writes a value.
func (p *Platform) CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) (uint64, error) {
	if len(data) > fgstore.MaxValueBytes {
		return 0, fgstore.ErrTooLarge
	}
	if _, err := p.enter(ctx, writeCall); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DelayWrites > 0 {
		p.faults.DelayWrites--
		time.AfterFunc(time.Duration(p.faults.DelayWriteMillis)*time.Millisecond, func() { p.writeLate(key, expected, data) })
		return 0, fgstore.ErrUnknown
	}
	if p.values[key].Revision != expected {
		return 0, fgstore.ErrConflict
	}
	p.write(fgstore.Value{Key: key, Data: slices.Clone(data)})
	if p.loseAnswer() {
		return 0, fgstore.ErrUnknown
	}
	return p.revision, nil
}

// Range returns the keys with a prefix, in order.
func (p *Platform) Range(ctx context.Context, prefix string) ([]string, error) {
	if _, err := p.enter(ctx, readCall); err != nil {
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

// Delete removes a value.
func (p *Platform) Delete(ctx context.Context, key string, expected uint64) error {
	if _, err := p.enter(ctx, writeCall); err != nil {
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

// Watch waits for a revision of a key above after.
func (p *Platform) Watch(ctx context.Context, key string, after uint64) (fgstore.Value, error) {
	if _, err := p.enter(ctx, readCall); err != nil {
		return fgstore.Value{}, err
	}
	for {
		p.mu.Lock()
		v, ok := p.values[key]
		f := p.faults
		wait := p.wait()
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
		case <-wait:
		}
	}
}

// enter counts a call and applies the faults that hit it before its effect.
func (p *Platform) enter(ctx context.Context, kind callKind) (Faults, error) {
	p.mu.Lock()
	p.calls++
	f := p.faults
	refused := f.Down
	if kind == writeCall {
		refused = refused || p.writes.exceeds(f.WritesPerSecond)
	} else {
		refused = refused || p.reads.exceeds(f.ReadsPerSecond)
	}
	p.mu.Unlock()
	if refused {
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

// writeLate applies a write whose answer was lost, if its revision still holds.
func (p *Platform) writeLate(key string, expected uint64, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values[key].Revision == expected {
		p.write(fgstore.Value{Key: key, Data: slices.Clone(data)})
	}
}

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

func (p *Platform) loseAnswer() bool {
	if p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) wait() <-chan struct{} {
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
