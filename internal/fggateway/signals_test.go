package fggateway

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

// Guards against requests to an upstream that has said in a response or a refusal that it
// leaves, from the gateway that was told or from another, and against an upstream that gets
// none after its restart.
func TestUpstreamLeaves(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		env := newTestEnv(t)
		var requests atomic.Int64
		leaves := func(rw http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			rw.Header().Set("T-Leaving", "1")
			if refuses {
				shed(rw, r)
				return
			}
			respond(rw, r)
		}
		env.upstream("u1", leaves)
		a, b := env.gateway("vm-1", 1), env.gateway("vm-2", 1)
		env.upstream("u2", respond)
		env.eventually("the gateways know each other and the upstreams", func() bool {
			for _, g := range []*testGateway{a, b} {
				if v := g.mirror.View(); len(v.Members()) != 2 || len(v.Upstreams("g")) != 2 {
					return false
				}
			}
			return true
		})
		for range 20 {
			if a.mustCall(t, http.MethodGet, "/read/x"); requests.Load() > 0 {
				break
			}
		}
		told := time.Now()
		env.eventually("the other gateway hears of it", func() bool { leaving, _ := b.balancer.SignalCounts(); return leaving == 1 })
		if took := time.Since(told); took > 2*time.Second {
			t.Errorf("the other gateway heard of it after %v", took)
		}
		for range 40 {
			for _, g := range []*testGateway{a, b} {
				if got := g.mustCall(t, http.MethodGet, "/read/x"); got.status != http.StatusOK {
					t.Fatalf("got %+v while another upstream has capacity", got)
				}
			}
		}
		if got := requests.Load(); got != 1 {
			t.Errorf("the upstream got %d requests, want 1", got)
		}
		for _, message := range []string{"upstream leaving", "leaving of an upstream reported"} {
			if len(env.logs.find(`"msg":"`+message+`"`, `"upstream":"u1"`)) != 1 {
				t.Errorf("not one line %q", message)
			}
		}
		var spec fgsteer.UpstreamSpec
		for _, u := range a.mirror.View().Upstreams("g") {
			if u.Spec().ID == "u1" {
				spec = *u.Spec()
			}
		}
		spec.Started = time.Now().Add(time.Second)
		env.put("up/u1", spec)
		env.eventually("the upstream is used after its restart", func() bool {
			a.mustCall(t, http.MethodGet, "/read/x")
			return requests.Load() > 1
		})
	}
}

// Guards against a request that a partition holds back and that reaches an upstream after it
// has said that it leaves, against one that was chosen before, and against the end of
// requests that run there.
func TestLeavingWithdrawsHeldRequests(t *testing.T) {
	env, g, h := heldEnv(t)
	slow := make(chan int, 1)
	g.mustCall(t, http.MethodPut, "/read/x", "T-Id", "warm")
	go func() {
		res, _ := g.call(t, http.MethodPut, "/read/x", "T-Id", "slow")
		slow <- res.status
	}()
	env.eventually("the slow request runs", func() bool { return h.has("slow") })
	g.mustCall(t, http.MethodPut, "/read/x", "T-Id", "warm2")
	h.partition(true)
	held := make(chan int, 1)
	go func() {
		res, _ := g.call(t, http.MethodPut, "/read/x", "T-Id", "held")
		held <- res.status
	}()
	time.Sleep(50 * time.Millisecond)
	s := &fgwire.GatewayState{Vm: "vm-2", Incarnation: 1, Sequence: 1}
	told := fgaffinity.New(fgaffinity.Options{})
	told.Update(g.mirror.View())
	u, err := told.Choose(fgaffinity.Criteria{Group: "g", MaxLoadPerSlot: maxLoadPerSlot})
	if err != nil {
		t.Fatal(err)
	}
	told.RecordLeaving(u)
	s.LeavingUpstreams = told.LeavingReports()
	start := time.Now()
	g.applyState(s, "")
	if status := <-held; status < 500 {
		t.Errorf("the held request got status %d", status)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the held request was given up after %v", took)
	}
	h.partition(false)
	if status := <-slow; status != http.StatusOK {
		t.Errorf("the running request got status %d", status)
	}
	chosen := fgpool.Request{Method: http.MethodGet, URI: "/read/x", Host: "h.example", Header: http.Header{"T-Id": {"chosen"}}}
	if _, err := g.pool.Send(t.Context(), upstreamTarget(u.Spec()), chosen); err == nil {
		t.Error("a request that was chosen before was sent")
	}
	start = time.Now()
	if res := g.mustCall(t, http.MethodPut, "/read/x", "T-Id", "late"); res.status != http.StatusServiceUnavailable || time.Since(start) > 200*time.Millisecond {
		t.Errorf("got %+v after %v while all upstreams leave", res, time.Since(start))
	} else if after, err := strconv.ParseFloat(res.retryAfter, 64); err != nil || after < 1 || after > 1.5 {
		t.Errorf("Retry-After %q, want 1 to 1.5 s", res.retryAfter)
	}
	time.Sleep(200 * time.Millisecond)
	for _, id := range []string{"held", "chosen", "late"} {
		if h.has(id) {
			t.Errorf("request %q reached the upstream", id)
		}
	}
}

// Guards against states that versions with and without leaving upstreams in them can't read
// from each other.
func TestStateWithLeavingUpstreams(t *testing.T) {
	// vm "v", incarnation 1 and sequence 2, as the version without field 21 encodes them.
	const withoutLeaving = "\x0a\x01v\x11\x01\x00\x00\x00\x00\x00\x00\x00\x18\x02"
	// Field 21, length-delimited: the hash 7.
	const leaving = "\xaa\x01\x04\x07\x00\x00\x00"
	for _, text := range []string{withoutLeaving, withoutLeaving + leaving} {
		s := &fgwire.GatewayState{}
		if err := proto.Unmarshal([]byte(text), s); err != nil {
			t.Fatal(err)
		}
		if got := s.GetLeavingUpstreams(); s.GetSequence() != 2 || (len(got) == 1 && got[0] == 7) != (text != withoutLeaving) {
			t.Errorf("got %v of %x", s, text)
		}
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
		if err != nil || string(data) != text {
			t.Errorf("got the encoded state %x, error %v, want %x", data, err, text)
		}
	}
}

// Guards against requests to an upstream that pauses, and against a retry time before the
// first end of a pause.
func TestUpstreamPauses(t *testing.T) {
	env := newTestEnv(t)
	var requests [2]atomic.Int64
	var pauses [2]atomic.Bool
	for i, id := range []string{"u1", "u2"} {
		env.upstream(id, func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			requests[i].Add(1)
			if !pauses[i].Load() {
				respond(rw, r)
				return
			}
			rw.Header().Set("T-Pause", []string{"2s", "30s"}[i])
			shed(rw, r)
		})
	}
	g := env.gateway("vm-1", 2)
	pauses[0].Store(true)
	env.eventually("the first upstream pauses", func() bool {
		if got := g.mustCall(t, http.MethodGet, "/read/x"); got.status != http.StatusOK {
			t.Fatalf("got %+v while another upstream has capacity", got)
		}
		return requests[0].Load() == 1
	})
	start := time.Now()
	for time.Since(start) < 500*time.Millisecond {
		if got := g.mustCall(t, http.MethodGet, "/read/x"); got.status != http.StatusOK {
			t.Fatalf("got %+v while another upstream has capacity", got)
		}
	}
	pauses[1].Store(true)
	// The first refusal comes after a send, the second one before.
	for range 2 {
		res, left := g.mustCall(t, http.MethodGet, "/read/x"), 2*time.Second-time.Since(start)
		after, err := strconv.ParseFloat(res.retryAfter, 64)
		if got := time.Duration(after * float64(time.Second)); res.status != http.StatusServiceUnavailable || err != nil || got < left-100*time.Millisecond || got > 5*left/4+200*time.Millisecond {
			t.Errorf("got %+v %v before the end of a pause", res, left)
		}
	}
	if got := requests[0].Load() + requests[1].Load(); requests[0].Load() != 1 {
		t.Errorf("the first upstream got %d of %d requests", requests[0].Load(), got)
	}
	pauses[0].Store(false)
	env.eventually("the upstream is used after its pause", func() bool {
		return g.mustCall(t, http.MethodGet, "/read/x").status == http.StatusOK
	})
	if took := time.Since(start); took < 1900*time.Millisecond || took > 3*time.Second {
		t.Errorf("the upstream was used %v after the start of its pause", took)
	}
	if len(env.logs.find(`"msg":"upstream paused"`, `"upstream":"u1"`)) != 1 {
		t.Error("not one line of the pause")
	}
}
