package fgpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// linkDelay is the one-way delay between the gateway and the upstream of a heldNetwork.
const linkDelay = time.Millisecond

// heldNetwork is an upstream behind a link whose partitions hold bytes back and deliver
// them at their end.
type heldNetwork struct {
	network           fgstandin.Network
	gateway, upstream netip.Addr
	target            Target
	pool              Pool
	// respond writes the response to the request with an id.
	respond func(c io.Writer, id string) error
	stop    func()

	mu sync.Mutex
	// started holds when the upstream had received each request whole.
	started map[string]time.Time
}

// newHeldNetwork must be called in a synctest bubble. The caller calls stop.
func newHeldNetwork(t *testing.T) *heldNetwork {
	t.Helper()
	h := &heldNetwork{
		gateway: netip.MustParseAddr("10.0.0.1"), upstream: netip.MustParseAddr("10.0.0.2"),
		started: map[string]time.Time{},
		respond: func(c io.Writer, id string) error {
			_, err := io.WriteString(c, encodeResponse(id, "ok"))
			return err
		},
	}
	h.network.SetDelay(func(_, _ netip.Addr) time.Duration { return linkDelay })
	listener, err := h.network.Host(h.upstream).Listen("tcp", netip.AddrPortFrom(h.upstream, 80).String())
	if err != nil {
		t.Fatal(err)
	}
	h.target = Target{ID: "u", Address: listener.Addr().String()}
	h.pool.SetHooks(Hooks{Dial: h.network.Host(h.gateway).DialContext})
	h.stop = func() { h.network.CloseHost(h.upstream); h.network.CloseHost(h.gateway) }
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					h.mu.Lock()
					h.started[id] = time.Now()
					h.mu.Unlock()
					if h.respond(c, id) != nil {
						return
					}
				}
			}()
		}
	}()
	return h
}

func (h *heldNetwork) partition(on bool) { h.network.SetPartitioned(h.gateway, h.upstream, on) }

// startOf returns when a request started to run, or the zero time.
func (h *heldNetwork) startOf(id string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started[id]
}

// sized returns a request with a body of n bytes.
func sized(id string, n int) Request {
	r := request(id)
	r.Body = [][]byte{[]byte(strings.Repeat("x", n/2)), []byte(strings.Repeat("x", n-n/2))}
	return r
}

// Guards against a request that begins to run after its send was abandoned, because the
// connection was closed without a reset and the network delivered what it had held back.
func TestAbandonedSendDoesNotStart(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		// warm means that the request goes over a connection that is open before the
		// partition.
		warm bool
	}{
		{"while connecting", 5, false},
		{"while waiting", 5, true},
		{"written in the background", 30 << 10, true},
		{"while writing in the background", 200 << 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHeldNetwork(t)
				defer h.stop()
				if tt.warm {
					if _, err := sendAndRead(t, &h.pool, h.target, "warm"); err != nil {
						t.Fatal(err)
					}
				}
				h.partition(true)
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				if _, err := h.pool.Send(ctx, h.target, sized("held", tt.bytes)); err == nil {
					t.Fatal("a response arrived through the partition")
				}
				time.Sleep(8 * time.Second)
				h.partition(false)
				time.Sleep(time.Second)
				if start := h.startOf("held"); !start.IsZero() {
					t.Error("the abandoned request ran after the partition")
				}
			})
		})
	}
}

// Guards against any order of partitions, cancellations, bad responses and body sizes in
// which a request begins to run after its exchange has ended.
func TestExchangesEndInRandomOrder(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomOrder(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func runRandomOrder(t *testing.T, random *rand.Rand) {
	const requests = 60
	h := newHeldNetwork(t)
	defer h.stop()
	responses := []func(c io.Writer, id string) error{
		h.respond,
		func(c io.Writer, id string) error {
			time.Sleep(200 * time.Millisecond)
			_, err := io.WriteString(c, encodeResponse(id, "ok"))
			return err
		},
		func(c io.Writer, id string) error {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\ncut")
			return err
		},
		func(c io.Writer, id string) error {
			_, err := io.WriteString(c, encodeResponse("old", "no")+encodeResponse(id, "ok"))
			return err
		},
		func(c io.Writer, _ string) error {
			_, err := io.WriteString(c, strings.Repeat(encodeResponse("old", "no"), 5))
			return err
		},
	}
	kinds := map[string]int{}
	h.respond = func(c io.Writer, id string) error { return responses[kinds[id]](c, id) }
	var pauses []time.Duration
	for range 20 {
		pauses = append(pauses, time.Duration(random.IntN(300))*time.Millisecond, time.Duration(random.IntN(900))*time.Millisecond)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i, pause := range pauses {
			time.Sleep(pause)
			h.partition(i%2 == 0)
		}
	}()
	type plan struct {
		id             string
		begin, timeout time.Duration
		bytes          int
	}
	var plans []plan
	for i := range requests {
		p := plan{
			id: fmt.Sprint(i), begin: time.Duration(random.IntN(6000)) * time.Millisecond,
			timeout: time.Duration(random.IntN(600)) * time.Millisecond, bytes: []int{5, 20 << 10, 150 << 10}[random.IntN(3)],
		}
		kinds[p.id] = random.IntN(len(responses))
		plans = append(plans, p)
	}
	var exchanges sync.WaitGroup
	var mu sync.Mutex
	ended := map[string]time.Time{}
	for _, p := range plans {
		exchanges.Go(func() {
			time.Sleep(p.begin)
			ctx, cancel := context.WithTimeout(t.Context(), p.timeout)
			defer cancel()
			res, err := h.pool.Send(ctx, h.target, sized(p.id, p.bytes))
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
				res.Close(err == nil, time.Minute)
			}
			mu.Lock()
			ended[p.id] = time.Now()
			mu.Unlock()
		})
	}
	exchanges.Wait()
	<-done
	time.Sleep(2 * time.Second)
	for id, end := range ended {
		if start := h.startOf(id); start.After(end.Add(linkDelay)) {
			t.Errorf("request %s began %v after its exchange had ended", id, start.Sub(end))
		}
	}
}
