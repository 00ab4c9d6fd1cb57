package engineserver

import (
	"encoding/binary"
	"io"
	"net/http"

	"currantledge.example/currantledge/internal/standin/responder"
)

const (
	kvBytesPerToken = 256
	// kvHeaderBytes is the size of the header: 8 bytes for the seed, 8 bytes for the number of tokens.
	kvHeaderBytes = 16
	// maxKVEntries is the maximum number of KV caches of finished requests, and also of imported ones.
	maxKVEntries = 256
)

// kvStore holds the KV caches of finished requests and imported ones, each up to maxKVEntries. Beyond that, the oldest
// is evicted.
type kvStore struct {
	// finished holds entries by request id, imported the number of tokens by seed. finishedOrder and importedOrder hold
	// the keys, the oldest first.
	finished      map[string]kvEntry
	finishedOrder []string
	imported      map[uint64]int
	importedOrder []uint64
}

// kvEntry describes the KV cache of one request. Its content is not simulated.
type kvEntry struct {
	// seed is the digest of customer and prompt, see outputSeed.
	seed   uint64
	tokens int
}

func newKVStore() *kvStore {
	return &kvStore{finished: map[string]kvEntry{}, imported: map[uint64]int{}}
}

func (k *kvStore) addFinished(request string, entry kvEntry) {
	if _, found := k.finished[request]; !found {
		k.finishedOrder = append(k.finishedOrder, request)
	}
	k.finished[request] = entry
	if len(k.finishedOrder) > maxKVEntries {
		delete(k.finished, k.finishedOrder[0])
		k.finishedOrder = k.finishedOrder[1:]
	}
}

func (k *kvStore) addImported(entry kvEntry) {
	if _, found := k.imported[entry.seed]; !found {
		k.importedOrder = append(k.importedOrder, entry.seed)
	}
	k.imported[entry.seed] = entry.tokens
	if len(k.importedOrder) > maxKVEntries {
		delete(k.imported, k.importedOrder[0])
		k.importedOrder = k.importedOrder[1:]
	}
}

// importedTokens returns the number of tokens in the imported KV cache of a request, or 0 without one.
func (k *kvStore) importedTokens(seed uint64) int {
	return k.imported[seed]
}

// encode returns the entry with as many zero bytes as the KV cache would have.
func (entry kvEntry) encode() []byte {
	raw := make([]byte, kvHeaderBytes+entry.tokens*kvBytesPerToken)
	binary.BigEndian.PutUint64(raw, entry.seed)
	binary.BigEndian.PutUint64(raw[8:], uint64(entry.tokens))
	return raw
}

// decodeKV decodes an entry and returns false if it is malformed.
func decodeKV(raw []byte) (kvEntry, bool) {
	if len(raw) < kvHeaderBytes {
		return kvEntry{}, false
	}
	tokens := binary.BigEndian.Uint64(raw[8:])
	if uint64(len(raw)-kvHeaderBytes) != tokens*kvBytesPerToken {
		return kvEntry{}, false
	}
	return kvEntry{seed: binary.BigEndian.Uint64(raw), tokens: int(tokens)}, true
}

// findKVLocked returns the KV cache of a running or finished request.
func (e *engine) findKVLocked(request string) (kvEntry, bool) {
	for _, g := range e.running {
		if g.in.Request == request {
			return g.kv(), true
		}
	}
	entry, found := e.kv.finished[request]
	return entry, found
}

func (e *engine) kvExport(w http.ResponseWriter, r *http.Request) {
	var in wireRequest
	if !responder.Decode(w, r, &in) {
		return
	}
	e.mu.Lock()
	entry, found := e.findKVLocked(in.Request)
	e.mu.Unlock()
	if !found {
		responder.Fail(w, http.StatusNotFound, "unknownRequest")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// Writing fails only if the client has disconnected.
	_, _ = w.Write(entry.encode())
}

func (e *engine) kvImport(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, responder.MaxBodyBytes))
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "malformed")
		return
	}
	entry, valid := decodeKV(raw)
	if !valid {
		responder.Fail(w, http.StatusBadRequest, "malformed")
		return
	}
	e.mu.Lock()
	e.kv.addImported(entry)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
