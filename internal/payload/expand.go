package payload

import (
	"bytes"
	"encoding/binary"
)

// gzipMagic starts a gzip stream. No JSON starts like it.
var gzipMagic = []byte{0x1f, 0x8b}

// gzipTrailerBytes is the size of the length at the end of a gzip stream.
const gzipTrailerBytes = 4

// IsCompressed reports whether data is a gzip stream and not JSON.
func IsCompressed(data []byte) bool {
	return len(data) > len(gzipMagic)+gzipTrailerBytes && bytes.HasPrefix(data, gzipMagic)
}

// ExpandedSize returns the length of data after decompression, from its trailer, or the length of data that isn't
// compressed.
func ExpandedSize(data []byte) int {
	if !IsCompressed(data) {
		return len(data)
	}
	return int(binary.LittleEndian.Uint32(data[len(data)-gzipTrailerBytes:]))
}

// Expand decompresses data that Compress has compressed, and returns other data unchanged. Data that decompresses to more
// than maxBytes is an error.
func Expand(data []byte, maxBytes int) ([]byte, error) {
	if !IsCompressed(data) {
		return data, nil
	}
	return Decompress(bytes.NewReader(data), Gzip, maxBytes)
}
