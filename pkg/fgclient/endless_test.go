package fgclient

import (
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against a VM in trouble whose response never ends and is held in memory.
func TestEndlessResponses(t *testing.T) {
	tests := []struct{ name, start, next string }{
		{"head", "HTTP/1.1 200 OK\r\n", "X: yyyyyyyy\r\n"},
		{"refusal", "HTTP/1.1 401 Unauthorized\r\n\r\n{\"detail\":\"", "x"},
		{"look-up", "HTTP/1.1 200 OK\r\n\r\n{\"vms\":[", `{"vm":"x"},`},
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
				_, _ = c.Read(make([]byte, 4<<10))
				n, err := io.WriteString(c, tt.start)
				block := []byte(strings.Repeat(tt.next, 4<<10))
				for err == nil && n < 64<<20 {
					var more int
					more, err = c.Write(block)
					n += more
				}
				taken <- n
			}()
			c, err := NewClient(ClientOptions{Addresses: []string{"http://" + listener.Addr().String()}})
			if err != nil {
				t.Fatal(err)
			}
			if lookup, err := c.Lookup(t.Context()); err == nil {
				t.Errorf("the look-up returned %d VMs", len(lookup.VMs))
			}
			// A look-up response of 1 MB is read before it is given up.
			if n := <-taken; n > 4<<20 {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}
