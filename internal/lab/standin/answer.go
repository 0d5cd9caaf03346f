// Package standin holds the processes that stand for the outside world on one machine: model engines, small
// services, the KV store, the weight store and the platform's machine list. docs/BACKENDS.md describes the
// protocol they serve, which is what an adapter for a real back end must provide.
package standin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// TokenText returns the token at a position of the answer to a prompt. It depends on prompt, seed and
// position only, so that any engine continues any other's stream, and callers can check their answers.
func TokenText(promptDigest, seed uint64, index int) string {
	var buffer [24]byte
	binary.LittleEndian.PutUint64(buffer[0:], promptDigest)
	binary.LittleEndian.PutUint64(buffer[8:], seed)
	binary.LittleEndian.PutUint64(buffer[16:], uint64(index))
	return fmt.Sprintf("%06x ", xxhash.Sum64(buffer[:])&0xffffff)
}

// ServiceResponse returns the answer of a small service to a body.
func ServiceResponse(body []byte) []byte {
	return fmt.Appendf(nil, `{"confirmed":"%016x"}`, xxhash.Sum64(body))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a caller that is gone cannot be told
}

// readJSON decodes a body, or answers 400.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target); err != nil {
		http.Error(w, "the body is not the expected JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

const maxBodyBytes = 64 << 20
