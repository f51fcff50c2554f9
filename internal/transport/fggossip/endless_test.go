package fggossip

import (
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a gateway that holds the endless bytes of a peer in memory.
func TestEndlessCopyOfStore(t *testing.T) {
	tests := []struct{ name, next string }{
		{"no drpc", "garbage"},
		{"zeros", "\x00"},
		// A frame of a message that is never complete: message frame, stream 1,
		// message 1, 100 bytes.
		{"message without end", "\x04\x01\x01\x64" + strings.Repeat("x", 100)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			taken := make(chan int, 1)
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
				n := 0
				block := []byte(strings.Repeat(tt.next, 1+(16<<10)/len(tt.next)))
				for err == nil && n < 256<<20 {
					var more int
					more, err = c.Write(block)
					n += more
				}
				taken <- n
			}()
			start := time.Now()
			if _, err := FetchStore(t.Context(), listener.Addr().String(), 0); err == nil {
				t.Error("a copy was fetched")
			}
			if took := time.Since(start); took > 2*callTimeout {
				t.Errorf("the call took %s", took)
			}
			// drpc limits a message to 4 MB.
			if n := <-taken; n > 16<<20 {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}
