package fggossip

import (
	"fmt"
	"runtime"
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

// Guards against a copy that is too large and is read up to the limit, as if the rest of the
// store had been deleted, and against the memory that compressed data without end needs.
func TestCompressedEntriesAreLimited(t *testing.T) {
	// Encoded, an entry has 64 KB, so that the limit is at the end of an entry.
	const entryBytes = 64 << 10
	entries := func(n int) []*fgwire.StoreEntry {
		const frame = 8
		all := make([]*fgwire.StoreEntry, n)
		for i := range all {
			all[i] = &fgwire.StoreEntry{Value: make([]byte, entryBytes-frame)}
		}
		return all
	}
	if n := proto.Size(&fgwire.StoreAnswer{Entries: entries(1)}); n != entryBytes {
		t.Fatalf("an entry has %d bytes, want %d", n, entryBytes)
	}
	tests := []struct {
		name string
		n    int
		ok   bool
	}{
		{"at the limit", maxCopyBytes / entryBytes, true},
		{"above the limit", maxCopyBytes/entryBytes + 1, false},
		{"far above the limit", 4 * maxCopyBytes / entryBytes, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := CompressEntries(entries(tt.n))
			if err != nil {
				t.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got, err := decompressEntries(data)
			runtime.ReadMemStats(&after)
			if (err == nil) != tt.ok || tt.ok && len(got) != tt.n {
				t.Errorf("%d of %d entries were read, error %v", len(got), tt.n, err)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > 8*maxCopyBytes {
				t.Errorf("%d bytes were allocated", n)
			}
		})
	}
}
