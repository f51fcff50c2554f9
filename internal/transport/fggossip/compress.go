package fggossip

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// maxCopyBytes bounds the size of a copy of the store after it is decompressed: four times
// the largest one that fits into a message of drpc uncompressed.
const maxCopyBytes = 16 << 20

// errCopyTooLarge means that a copy of the store exceeds its limit.
var errCopyTooLarge = merry.Sentinel("the copy of the store is too large")

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
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxCopyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxCopyBytes {
		return nil, merry.Wrap(errCopyTooLarge)
	}
	answer := &fgwire.StoreAnswer{}
	if err := proto.Unmarshal(data, answer); err != nil {
		return nil, err
	}
	return answer.GetEntries(), nil
}
