package payload

import (
	"bytes"
	"strings"
	"testing"
)

const rosterEntry = `{"id":"engine-000017-3","address":"10.1.2.3:8000","zone":"a","state":"ready"},`

// TestOnlyLongBodiesAreCompressed: repetitive JSON shrinks at least eightfold, and bodies survive the round trip.
func TestOnlyLongBodiesAreCompressed(t *testing.T) {
	for _, count := range []int{1, 1000, 2000} {
		body := []byte(strings.Repeat(rosterEntry, count))
		compressed, encoding := Compress(body)
		if count == 1 {
			if encoding != "" || !bytes.Equal(compressed, body) {
				t.Fatalf("a body of %d bytes is encoded as %q", len(body), encoding)
			}
			continue
		}
		if encoding != Gzip || len(compressed)*8 > len(body) {
			t.Fatalf("%d bytes are encoded as %d, encoding %q", len(body), len(compressed), encoding)
		}
		decompressed, err := Decompress(bytes.NewReader(compressed), encoding, len(body))
		if err != nil || !bytes.Equal(decompressed, body) {
			t.Fatalf("a body of %d bytes decompressed to %d different ones: %v", len(body), len(decompressed), err)
		}
		if _, err := Decompress(bytes.NewReader(compressed), encoding, len(body)-1); err == nil {
			t.Fatal("a body longer than the maximum was accepted")
		}
	}
	if _, err := Decompress(strings.NewReader("nonsense"), Gzip, 1000); err == nil {
		t.Fatal("a body that isn't gzip was decompressed")
	}
	if _, err := Decompress(strings.NewReader("x"), "br", 1000); err == nil {
		t.Fatal("an unsupported encoding was accepted")
	}
}

// TestSharedPartsAreCompressedOnce: a message with a shared part decompresses to the whole message, and the shared
// part is compressed only for the first such message.
func TestSharedPartsAreCompressedOnce(t *testing.T) {
	shared, err := NewSharedJSON(strings.Split(strings.Repeat(rosterEntry, 4000), ","))
	if err != nil {
		t.Fatal(err)
	}
	parts := []Part{{Raw: []byte(`{"kind":"ok","roster":`)}, {Shared: shared}, {Raw: []byte(`}`)}}
	plain, encoding := Assemble(parts, false)
	if encoding != "" {
		t.Fatalf("got encoding %q for a recipient that doesn't accept gzip", encoding)
	}
	compressed, encoding := Assemble(parts, true)
	decompressed, err := Decompress(bytes.NewReader(compressed), encoding, len(plain))
	if err != nil || !bytes.Equal(decompressed, plain) {
		t.Fatalf("a message of %d bytes decompressed to %d different ones: %v", len(plain), len(decompressed), err)
	}
	firstGzip := shared.compressed()
	Assemble(parts, true)
	if secondGzip := shared.compressed(); &secondGzip[0] != &firstGzip[0] {
		t.Fatal("the shared part was compressed twice")
	}
}
