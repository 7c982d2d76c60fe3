package emulator

import (
	"encoding/json"
	"net/http"

	"github.com/gooseberrypass/gooseberrypass"
)

// A kvDocument is an exported KV cache. It is valid only for the same prompt and
// weights.
type kvDocument struct {
	Digest gooseberrypass.Digest `json:"digest"`
	Next   int                   `json:"next"` // index of the next token
	Prompt gooseberrypass.Digest `json:"prompt"`
}

func (e *Engine) getKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a, ok := e.boot.attempts[r.PathValue("id")]
	if !ok {
		e.mu.Unlock()
		http.NotFound(w, r)
		return
	}
	kv := kvDocument{
		Digest: a.digest,
		Next:   a.next,
		Prompt: gooseberrypass.DigestOf([]byte(a.order.Prompt)),
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, kv)
}

// kvCacheMatches reports whether an order's KV cache belongs to its prompt and
// weights and covers the tokens before its first one.
func kvCacheMatches(order gooseberrypass.GenerateOrder) bool {
	var kv kvDocument
	if err := json.Unmarshal(order.KVCache, &kv); err != nil {
		return false
	}
	return kv.Digest == order.Digest &&
		kv.Prompt == gooseberrypass.DigestOf([]byte(order.Prompt)) &&
		order.From <= kv.Next
}
