package engineserver

import (
	"encoding/binary"
	"io"
	"net/http"

	"currantledge.example/currantledge/internal/standin/responder"
)

const (
	kvBytesPerToken = 256
	// kvHeaderBytes holds the digest of customer and prompt, then the number of tokens.
	kvHeaderBytes = 16
	// maxKept bounds the finished requests that can be exported and the imports that wait for their request.
	maxKept = 256
)

// kvStore holds the KV caches of finished and of imported requests.
type kvStore struct {
	finished      map[string]kvEntry
	finishedOrder []string
	imported      map[uint64]int
	importedOrder []uint64
}

// kvEntry is the KV cache of one request.
type kvEntry struct {
	seed   uint64
	tokens int
}

func newKVStore() *kvStore {
	return &kvStore{finished: map[string]kvEntry{}, imported: map[uint64]int{}}
}

func (k *kvStore) keep(request string, entry kvEntry) {
	if _, known := k.finished[request]; !known {
		k.finishedOrder = append(k.finishedOrder, request)
	}
	k.finished[request] = entry
	if len(k.finishedOrder) > maxKept {
		delete(k.finished, k.finishedOrder[0])
		k.finishedOrder = k.finishedOrder[1:]
	}
}

func (k *kvStore) add(entry kvEntry) {
	if _, known := k.imported[entry.seed]; !known {
		k.importedOrder = append(k.importedOrder, entry.seed)
	}
	k.imported[entry.seed] = entry.tokens
	if len(k.importedOrder) > maxKept {
		delete(k.imported, k.importedOrder[0])
		k.importedOrder = k.importedOrder[1:]
	}
}

// covered returns the number of tokens of a request whose KV cache was imported.
func (k *kvStore) covered(seed uint64) int {
	return k.imported[seed]
}

func (entry kvEntry) encode() []byte {
	raw := make([]byte, kvHeaderBytes+entry.tokens*kvBytesPerToken)
	binary.BigEndian.PutUint64(raw, entry.seed)
	binary.BigEndian.PutUint64(raw[8:], uint64(entry.tokens))
	return raw
}

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
	// The peer may be gone; then nobody reads the answer.
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
	e.kv.add(entry)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
