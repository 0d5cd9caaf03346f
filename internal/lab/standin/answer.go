// Package standin simulates the router's environment with processes on one machine: model engines, small services, the
// KV store, the weight store and the platform's machine list. docs/BACKENDS.md describes the protocol that they serve;
// adapters for real back ends must serve the same.
package standin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// TokenText returns the output token at an index. It depends only on prompt, seed and index, so that any engine can
// resume the stream of another and clients can verify the output.
func TokenText(promptDigest, seed uint64, index int) string {
	var buffer [24]byte
	binary.LittleEndian.PutUint64(buffer[0:], promptDigest)
	binary.LittleEndian.PutUint64(buffer[8:], seed)
	binary.LittleEndian.PutUint64(buffer[16:], uint64(index))
	return fmt.Sprintf("%06x ", xxhash.Sum64(buffer[:])&0xffffff)
}

// ServiceResponse returns the response body of a small service to a request body.
func ServiceResponse(body []byte) []byte {
	return fmt.Appendf(nil, `{"confirmed":"%016x"}`, xxhash.Sum64(body))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only when the client has disconnected
}

// readJSON decodes a request body into target. If that fails, it responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target); err != nil {
		http.Error(w, "the body is not the expected JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

const maxBodyBytes = 64 << 20
