package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/gooseberrypass/gooseberrypass"
)

// Limits on a generate request.
const (
	maxGenerateSize = 128 << 20 // bytes, including a KV cache
	maxTokens       = 1 << 20
)

// prefillRate is the number of bytes of a prompt that one step processes.
const prefillRate = 1024

// An attempt is a queued or running generate request.
type attempt struct {
	digest  gooseberrypass.Digest
	done    bool
	next    int           // index of the next token
	notify  chan struct{} // capacity 1
	order   gooseberrypass.GenerateOrder
	prefill int                    // steps left before the first token
	tokens  []gooseberrypass.Token // generated, not yet sent
}

// wake signals the attempt's handler that there are new tokens or that the
// attempt has ended.
func (a *attempt) wake() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

// A refusal is the HTTP status and body that reject a generate request.
type refusal struct {
	code   int
	detail string
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var order gooseberrypass.GenerateOrder
	if !readJSON(w, r, maxGenerateSize, &order) {
		return
	}
	boot, a, refused := e.enqueue(order)
	if refused != nil {
		if refused.code == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "1")
		}
		http.Error(w, refused.detail, refused.code)
		return
	}
	defer e.remove(boot, a)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.stream(w, r, boot, a)
}

// enqueue adds a valid request to the queue, behind those of the same priority.
func (e *Engine) enqueue(order gooseberrypass.GenerateOrder) (*engineBoot, *attempt, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	boot := e.boot
	if refused := e.validate(boot, order); refused != nil {
		return nil, nil, refused
	}
	a := &attempt{
		digest: order.Digest,
		next:   order.From,
		notify: make(chan struct{}, 1),
		order:  order,
	}
	boot.attempts[order.AttemptID] = a
	i, _ := slices.BinarySearchFunc(boot.queue, a, func(queued, added *attempt) int {
		if queued.order.Priority >= added.order.Priority {
			return -1
		}
		return 1
	})
	boot.queue = slices.Insert(boot.queue, i, a)
	e.sampleLoad(e.clock.Now())
	return boot, a, nil
}

// validate returns a refusal if the order cannot be accepted, or nil. e.mu must
// be held.
func (e *Engine) validate(boot *engineBoot, order gooseberrypass.GenerateOrder) *refusal {
	switch {
	case order.AttemptID == "" || order.MaxTokens <= 0 || order.MaxTokens > maxTokens:
		return &refusal{http.StatusBadRequest, "bad attempt id or token limit"}
	case order.From < 0 || order.From >= order.MaxTokens:
		return &refusal{http.StatusBadRequest, "bad first token"}
	case order.KVCache != nil && !kvCacheMatches(order):
		return &refusal{http.StatusBadRequest, "KV cache of another request"}
	case boot.attempts[order.AttemptID] != nil:
		return &refusal{http.StatusConflict, "attempt is in progress"}
	case boot.loaded[order.Model].digest != order.Digest || order.Digest.IsZero():
		return &refusal{http.StatusNotFound, "version not loaded"}
	case len(boot.queue) >= e.settings.QueueLimit:
		return &refusal{http.StatusTooManyRequests, "queue full"}
	}
	return nil
}

// stream sends the tokens of an attempt as they are generated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, boot *engineBoot, a *attempt) {
	cut := e.consume(cutStreams)
	for {
		select {
		case <-a.notify:
		case <-r.Context().Done():
			return
		case <-boot.ctx.Done():
			panic(http.ErrAbortHandler)
		}
		tokens, done := e.takeTokens(a)
		for _, token := range tokens {
			if cut && (token.Last || token.Index > a.order.From) {
				writeHalfLine(w, token)
				panic(http.ErrAbortHandler)
			}
			if json.NewEncoder(w).Encode(token) != nil {
				return
			}
		}
		flush(w)
		if done {
			return
		}
	}
}

// writeHalfLine writes the first half of a token's JSON line.
func writeHalfLine(w http.ResponseWriter, token gooseberrypass.Token) {
	line, _ := json.Marshal(token)
	_, _ = w.Write(line[:len(line)/2])
	flush(w)
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}

// takeTokens returns the tokens generated since the last call, and whether the
// attempt has ended.
func (e *Engine) takeTokens(a *attempt) ([]gooseberrypass.Token, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := a.tokens
	a.tokens = nil
	return tokens, a.done
}

// remove ends an attempt and removes it from the queue and the batch, if it is
// still there.
func (e *Engine) remove(boot *engineBoot, a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot.attempts[a.order.AttemptID] == a {
		delete(boot.attempts, a.order.AttemptID)
	}
	same := func(b *attempt) bool { return a == b }
	boot.queue = slices.DeleteFunc(boot.queue, same)
	boot.running = slices.DeleteFunc(boot.running, same)
	a.done = true
	a.wake()
}

// step generates one token for each attempt in the batch that has finished its
// prefill.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fillBatch() {
		e.crash()
		return
	}
	for _, a := range e.boot.running {
		if a.prefill > 0 {
			a.prefill--
			continue
		}
		a.makeToken()
	}
	e.boot.running = slices.DeleteFunc(e.boot.running, func(a *attempt) bool { return a.done })
	e.sampleLoad(e.clock.Now())
}

// fillBatch moves attempts from the queue to the batch. It reports whether one of
// their prompts crashes the engine. e.mu must be held.
func (e *Engine) fillBatch() bool {
	boot := e.boot
	n := min(len(boot.queue), e.settings.Capacity-len(boot.running))
	now := e.clock.Now()
	for _, a := range boot.queue[:n] {
		if strings.Contains(a.order.Prompt, e.settings.CrashMark) {
			return true
		}
		hit := boot.cache.touch(now, gooseberrypass.PrefixHash(a.order.Prompt))
		a.prefill = prefillSteps(a.order, hit)
		boot.running = append(boot.running, a)
	}
	boot.queue = slices.Delete(boot.queue, 0, n)
	return false
}

// prefillSteps returns the number of steps before the first token: 0 with a KV
// cache, otherwise enough for the part of the prompt that is not in the prefix
// cache.
func prefillSteps(order gooseberrypass.GenerateOrder, hit bool) int {
	if order.KVCache != nil {
		return 0
	}
	size := len(order.Prompt)
	if hit {
		size -= min(size, gooseberrypass.PrefixSize)
	}
	return (size + prefillRate - 1) / prefillRate
}

func (a *attempt) makeToken() {
	a.done = a.next == a.order.MaxTokens-1
	a.tokens = append(a.tokens, gooseberrypass.Token{
		AttemptID: a.order.AttemptID,
		Digest:    a.digest,
		Index:     a.next,
		Last:      a.done,
		Text:      TokenText(a.digest, a.order.Prompt, a.next),
	})
	a.next++
	a.wake()
}

// replaceWeights switches the model's attempts in progress to other weights.
func (b *engineBoot) replaceWeights(model gooseberrypass.ID, digest gooseberrypass.Digest) {
	for _, a := range b.attempts {
		if a.order.Model == model {
			a.digest = digest
		}
	}
}

func (e *Engine) deleteAttempt(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	boot := e.boot
	a, ok := boot.attempts[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	e.remove(boot, a)
	w.WriteHeader(http.StatusNoContent)
}
