package fggateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
)

// previousCrash is the report of one request as the previous version sends and reads it.
type previousCrash struct {
	request   uint64
	upstreams []uint32
	cleared   bool
}

// encodePrevious returns the bytes of a state of the previous version.
func encodePrevious(crashes ...previousCrash) []byte {
	var state []byte
	for _, c := range crashes {
		m := protowire.AppendFixed64(protowire.AppendTag(nil, 1, protowire.Fixed64Type), c.request)
		if len(c.upstreams) > 0 {
			var packed []byte
			for _, u := range c.upstreams {
				packed = protowire.AppendFixed32(packed, u)
			}
			m = protowire.AppendBytes(protowire.AppendTag(m, 2, protowire.BytesType), packed)
		}
		if c.cleared {
			m = protowire.AppendVarint(protowire.AppendTag(m, 3, protowire.VarintType), 1)
		}
		state = protowire.AppendBytes(protowire.AppendTag(state, 8, protowire.BytesType), m)
	}
	return state
}

// decodePrevious reads the bytes of a state as the previous version does, which skips
// fields that it does not know.
func decodePrevious(t *testing.T, state []byte) []previousCrash {
	t.Helper()
	var crashes []previousCrash
	forEachField(t, state, func(field protowire.Number, value []byte, _ uint64) {
		if field != 8 {
			return
		}
		var c previousCrash
		forEachField(t, value, func(field protowire.Number, value []byte, number uint64) {
			switch field {
			case 1:
				c.request = number
			case 2:
				for len(value) > 0 {
					u, n := protowire.ConsumeFixed32(value)
					c.upstreams, value = append(c.upstreams, u), value[n:]
				}
			case 3:
				c.cleared = number != 0
			}
		})
		crashes = append(crashes, c)
	})
	return crashes
}

func forEachField(t *testing.T, message []byte, visit func(field protowire.Number, value []byte, number uint64)) {
	t.Helper()
	for len(message) > 0 {
		field, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			t.Fatal(protowire.ParseError(n))
		}
		message = message[n:]
		var value []byte
		var number uint64
		switch kind {
		case protowire.BytesType:
			value, n = protowire.ConsumeBytes(message)
		case protowire.Fixed64Type:
			number, n = protowire.ConsumeFixed64(message)
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(message)
		default:
			t.Fatalf("field %d has wire type %d", field, kind)
		}
		if n < 0 {
			t.Fatal(protowire.ParseError(n))
		}
		visit(field, value, number)
		message = message[n:]
	}
}

// Guards against gateways of two versions that do not understand each other's reports of
// crashes while a fleet is updated.
func TestCrashReportsOfPreviousVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		apply := func(g *Gateway, data []byte) {
			state := &fgwire.GatewayState{}
			if err := proto.Unmarshal(data, state); err != nil {
				t.Fatal(err)
			}
			g.applyCrashReports(state.GetCrashes())
		}
		report := func(g *Gateway) []byte {
			data, err := proto.Marshal(&fgwire.GatewayState{Crashes: g.crashReports()})
			if err != nil {
				t.Fatal(err)
			}
			return data
		}
		hash := func(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

		// The previous version counts different upstreams. It also blocks a request that
		// crashed the same one three times.
		g := &Gateway{}
		for range 3 {
			g.crashes.BeginCheck(7, "10.0.0.1:80", time.Now()).Crashed()
			time.Sleep(3 * time.Second)
		}
		data := report(g)
		got := decodePrevious(t, data)
		if len(got) != 1 || got[0].request != 7 || got[0].cleared || !slices.Contains(got[0].upstreams, hash("10.0.0.1:80")) {
			t.Fatalf("the previous version reads %+v", got)
		}
		slices.Sort(got[0].upstreams)
		if n := len(slices.Compact(got[0].upstreams)); n != 3 {
			t.Errorf("the previous version counts %d upstreams, want 3", n)
		}
		other := &Gateway{}
		apply(other, data)
		if n, ok := other.crashes.Blocked(7); !ok || n != 3 {
			t.Errorf("this version reads %d crashes, blocked %v; want 3, true", n, ok)
		}
		g.crashes.RecordCompletion(7)
		if got := decodePrevious(t, report(g)); len(got) != 1 || !got[0].cleared {
			t.Errorf("after a completion the previous version reads %+v", got)
		}

		// Reports of the previous version have neither ages nor cleared crashes.
		h := &Gateway{}
		h.crashes.BeginCheck(8, "10.0.0.1:80", time.Now()).Crashed()
		full := previousCrash{request: 8}
		for i := range 3 {
			full.upstreams = append(full.upstreams, hash(fmt.Sprintf("10.0.0.%d:80", i+1)))
		}
		apply(h, encodePrevious(full))
		if n, ok := h.crashes.Blocked(8); !ok || n != 3 {
			t.Errorf("this version reads %d crashes of the previous one, blocked %v; want 3, true", n, ok)
		}
		time.Sleep(fgsuspect.BlockDuration)
		apply(h, encodePrevious(full))
		if _, ok := h.crashes.Blocked(8); ok {
			t.Error("a report of known crashes prolonged the block")
		}
		apply(h, encodePrevious(previousCrash{request: 8, cleared: true}))
		if n, _ := h.crashes.Blocked(8); n != 0 {
			t.Errorf("%d crashes after the previous version cleared the request", n)
		}
	})
}
