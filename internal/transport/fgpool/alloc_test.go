package fgpool

import (
	"errors"
	"net"
	"runtime"
	"testing"

	"github.com/filbertgap/filbertgap/internal/transport/fgconn"
)

// writeFailConn is a connection whose writes fail.
type writeFailConn struct{ net.Conn }

func (writeFailConn) Write([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against a short body that is copied twice on its way to the connection.
func TestShortBodyIsCopiedOnce(t *testing.T) {
	const bodyBytes, sends = 8 << 10, 200
	r := request("1")
	r.Body = [][]byte{make([]byte, bodyBytes)}
	allocated := func(f func()) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range sends {
			f()
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / sends
	}
	encoded := allocated(func() { _ = encodeRequest(r) })
	sent := allocated(func() {
		rs := &Response{exchange: &exchange{}, conn: &conn{Conn: fgconn.New(writeFailConn{})}}
		if err := rs.run(r); !errors.Is(err, ErrNotSent) {
			t.Fatal(err)
		}
	})
	// encodeRequest allocates the room for the body.
	if sent > encoded+bodyBytes/2 {
		t.Errorf("encoding needs %d bytes, sending %d", encoded, sent)
	}
}
