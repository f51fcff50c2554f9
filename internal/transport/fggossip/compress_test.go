package fggossip

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// Guards against copies that are as large as the store, and those that another gateway
// does not read.
func TestCompressedEntries(t *testing.T) {
	all := &fgwire.StoreAnswer{}
	for i := range 2000 {
		all.Entries = append(all.Entries, &fgwire.StoreEntry{
			Key: fmt.Sprintf("servers/s-%d", i), Revision: uint64(1000 + 7*i),
			Value: fmt.Appendf(nil, `{"id":"s-%d","service":"stage","addr":"10.2.%d.%d:8443","zone":"east-%d","slots":3,"seq":%d,"started":"2026-12-06T07:%02d:%02dZ","state":"ready"}`, i, i/250, i%250, i%2, i*31%97, i%60, i*7%60),
		})
	}
	data, err := CompressEntries(all.GetEntries())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes compressed to %d", proto.Size(all), len(data))
	if len(data) > proto.Size(all)/4 {
		t.Errorf("%d bytes compressed to %d", proto.Size(all), len(data))
	}
	got, err := decompressEntries(data)
	if err != nil || !proto.Equal(&fgwire.StoreAnswer{Entries: got}, all) {
		t.Errorf("%d of %d entries: %v", len(got), len(all.GetEntries()), err)
	}
	for _, bad := range [][]byte{data[:len(data)/2], []byte(strings.Repeat("x", 100))} {
		if _, err := decompressEntries(bad); err == nil {
			t.Error("damaged entries were read")
		}
	}
}
