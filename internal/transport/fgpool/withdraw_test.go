package fgpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a withdrawn request that runs after a partition, and against the end of
// an exchange whose request the upstream has received.
func TestWithdraw(t *testing.T) {
	tests := []struct {
		name        string
		warm        bool
		bytes       int
		partitioned bool
		want        error
		// took is how long the send may take from the withdrawal on.
		took time.Duration
	}{
		{"while connecting", false, 5, true, ErrNotSent, 0},
		{"not acknowledged", true, 5, true, ErrNoResponse, abandonTimeout},
		{"not written", true, 200 << 10, true, ErrNoResponse, abandonTimeout},
		{"acknowledged", true, 5, false, nil, 2 * time.Second},
		{"acknowledged, large", true, 200 << 10, false, nil, 2 * time.Second},
	}
	ways := []struct {
		name     string
		withdraw func(p *Pool, leave context.CancelFunc, stop context.CancelFunc)
	}{
		{"drained", func(p *Pool, _, _ context.CancelFunc) {
			for range 2 {
				p.Withdraw(func(t Target) bool { return t.ID == "u" })
			}
		}},
		{"caller left", func(_ *Pool, leave, _ context.CancelFunc) { leave() }},
		{"stopped", func(_ *Pool, _, stop context.CancelFunc) { stop() }},
	}
	for _, way := range ways {
		for _, tt := range tests {
			t.Run(way.name+" "+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHeldNetwork(t)
					defer h.stop()
					respond := h.respond
					h.respond = func(c io.Writer, id string) error {
						if id == "1" {
							time.Sleep(time.Second)
						}
						return respond(c, id)
					}
					runCtx, stop := context.WithCancel(t.Context())
					ran := make(chan error, 1)
					go func() { ran <- h.pool.Run(runCtx) }()
					defer func() { stop(); <-ran }()
					if tt.warm {
						if _, err := sendAndRead(t, &h.pool, h.target, "warm"); err != nil {
							t.Fatal(err)
						}
					}
					h.partition(tt.partitioned)
					callerCtx, leave := context.WithCancel(t.Context())
					defer leave()
					r := sized("1", tt.bytes)
					r.Abandoned = callerCtx
					sent := make(chan error, 1)
					var ended time.Time
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						defer cancel()
						res, err := h.pool.Send(ctx, h.target, r)
						ended = time.Now()
						if err == nil {
							res.Close(false, 0)
						}
						sent <- err
					}()
					time.Sleep(100 * time.Millisecond)
					start := time.Now()
					way.withdraw(&h.pool, leave, stop)
					err := <-sent
					want := tt.want
					if way.name == "stopped" && want == nil {
						// The end of the pool ends all exchanges.
						want = ErrNoResponse
					}
					if !errors.Is(err, want) || want != nil && !errors.Is(err, ErrWithdrawn) {
						t.Errorf("error %v, want %v", err, want)
					}
					most := tt.took
					if way.name == "drained" && most == abandonTimeout {
						most = withdrawTimeout
					}
					if took := ended.Sub(start); took > most {
						t.Errorf("the send ended after %v, want at most %v", took, most)
					}
					if way.name == "drained" {
						if _, err := sendAndRead(t, &h.pool, h.target, "2"); !errors.Is(err, ErrNotSent) {
							t.Errorf("a request after the withdrawal: %v", err)
						}
						h.pool.Withdraw(nil)
					}
					h.partition(false)
					time.Sleep(2 * time.Second)
					if ran := !h.startOf("1").IsZero(); ran != !tt.partitioned {
						t.Errorf("the request ran: %v", ran)
					}
				})
			})
		}
	}
}

// Guards against a request that is sent after its caller has left.
func TestAbandonedBeforeSend(t *testing.T) {
	for _, warm := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHeldNetwork(t)
			defer h.stop()
			if warm {
				if _, err := sendAndRead(t, &h.pool, h.target, "warm"); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			r := request("1")
			r.Abandoned = ctx
			if _, err := h.pool.Send(t.Context(), h.target, r); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrWithdrawn) {
				t.Errorf("error %v", err)
			}
			time.Sleep(time.Second)
			if !h.startOf("1").IsZero() {
				t.Error("the request ran")
			}
		})
	}
}

// Guards against a TCP connection that is closed normally after an abandoned exchange,
// also by a process that is killed, and against a reset of an idle one.
func TestEndOfTCPConnection(t *testing.T) {
	tests := []struct {
		name    string
		abandon bool
		want    error
	}{{"abandoned", true, syscall.ECONNRESET}, {"idle", false, io.EOF}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			received, ended := make(chan struct{}), make(chan error, 1)
			target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				if tt.abandon {
					close(received)
				} else {
					_, _ = io.WriteString(c, encodeResponse(id, "ok"))
				}
				_, err := r.ReadByte()
				ended <- err
			})
			p := &Pool{}
			if tt.abandon {
				ctx, cancel := context.WithCancel(t.Context())
				go func() { <-received; cancel() }()
				if _, err := p.Send(ctx, target, request("1")); err == nil {
					t.Error("the send succeeded")
				}
			} else {
				if _, err := sendAndRead(t, p, target, "1"); err != nil {
					t.Fatal(err)
				}
				if l := lingerOf(t, p.idle[target.key()][0]); l.Onoff != 1 || l.Linger != 0 {
					t.Errorf("SO_LINGER of an open connection is %+v", l)
				}
				p.Drop(target)
			}
			if err := <-ended; !errors.Is(err, tt.want) {
				t.Errorf("the upstream read %v, want %v", err, tt.want)
			}
			if p.NotReset() != 0 {
				t.Errorf("%d connections were not reset", p.NotReset())
			}
		})
	}
}

func lingerOf(t *testing.T, c *conn) *unix.Linger {
	t.Helper()
	var l *unix.Linger
	var err error
	controlErr := c.raw.Control(func(fd uintptr) { l, err = unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER) })
	if err := errors.Join(err, controlErr); err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against bytes in the kernel's send queue that count as acknowledged.
func TestUnacknowledgedOnTCP(t *testing.T) {
	release := make(chan struct{})
	target := startUpstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		<-release
		_, _ = io.Copy(io.Discard, r)
	})
	p := &Pool{}
	c, err := p.open(t.Context(), target)
	if err != nil {
		t.Fatal(err)
	}
	defer c.end(true)
	if n := c.unacknowledged(); n != 0 {
		t.Errorf("%d bytes are unacknowledged before a write", n)
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 32<<20))
		written <- err
	}()
	// Ends a test that would wait forever.
	limit, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for c.unacknowledged() == 0 && limit.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if limit.Err() != nil {
		t.Error("no bytes are unacknowledged, and nobody reads them")
	}
	close(release)
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	for c.unacknowledged() > 0 && limit.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if n := c.unacknowledged(); n > 0 {
		t.Errorf("%d bytes are unacknowledged after all were read", n)
	}
}

// Guards against a connection that cannot be reset and is not counted.
func TestNotResetIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Pool{}
		p.SetHooks(Hooks{Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		}})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := p.Send(ctx, Target{ID: "u", Address: "u:80"}, request("1")); err == nil {
			t.Error("the send succeeded")
		}
		if p.NotReset() != 1 {
			t.Errorf("%d connections are counted, want 1", p.NotReset())
		}
	})
}
