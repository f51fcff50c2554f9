package fggossip

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// maxCopyBytes bounds the size of a copy of the store after it is decompressed.
const maxCopyBytes = 64 << 20

// CompressEntries compresses the entries of a copy of the store. Entries of a fleet are much
// alike, so that a copy shrinks to a fraction, and compression at the fastest level takes
// less time than sending the rest over a slow link.
func CompressEntries(entries []*fgwire.StoreEntry) ([]byte, error) {
	data, err := proto.Marshal(&fgwire.StoreAnswer{Entries: entries})
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// decompressEntries is the reverse of CompressEntries.
func decompressEntries(compressed []byte) ([]*fgwire.StoreEntry, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxCopyBytes))
	if err != nil {
		return nil, err
	}
	answer := &fgwire.StoreAnswer{}
	if err := proto.Unmarshal(data, answer); err != nil {
		return nil, err
	}
	return answer.GetEntries(), nil
}
