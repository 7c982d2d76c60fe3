package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of a request to an engine.
const (
	maxGenerateSize = 128 << 20 // bytes, with a KV cache
	maxTokens       = 1 << 20
)

// prefillRate is how many bytes of a prompt one step takes in.
const prefillRate = 1024

// An attempt is one request for tokens that waits or runs.
type attempt struct {
	digest  gooseberrypass.Digest
	done    bool
	next    int // index of the next token
	notify  chan struct{}
	order   gooseberrypass.GenerateOrder
	prefill int // steps before the first token
	tokens  []gooseberrypass.Token
}

// wake tells the attempt's handler that something changed.
func (a *attempt) wake() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

// A refusal is why a request for tokens was refused before it ran.
type refusal struct {
	code   int
	detail string
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var order gooseberrypass.GenerateOrder
	if !readJSON(w, r, maxGenerateSize, &order) {
		return
	}
	run, a, refused := e.enqueue(order)
	if refused != nil {
		if refused.code == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "1")
		}
		http.Error(w, refused.detail, refused.code)
		return
	}
	defer e.remove(run, a)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.stream(w, r, run, a)
}

func (e *Engine) enqueue(order gooseberrypass.GenerateOrder) (*engineRun, *attempt, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := e.run
	if refused := e.check(run, order); refused != nil {
		return nil, nil, refused
	}
	a := &attempt{
		digest: order.Digest,
		next:   order.From,
		notify: make(chan struct{}, 1),
		order:  order,
	}
	run.attempts[order.AttemptID] = a
	i, _ := slices.BinarySearchFunc(run.queue, a, func(queued, added *attempt) int {
		if queued.order.Priority >= added.order.Priority {
			return -1
		}
		return 1
	})
	run.queue = slices.Insert(run.queue, i, a)
	e.sampleLoad(e.clock.Now())
	return run, a, nil
}

func (e *Engine) check(run *engineRun, order gooseberrypass.GenerateOrder) *refusal {
	switch {
	case order.AttemptID == "" || order.MaxTokens <= 0 || order.MaxTokens > maxTokens:
		return &refusal{http.StatusBadRequest, "bad attempt id or token limit"}
	case order.From < 0 || order.From >= order.MaxTokens:
		return &refusal{http.StatusBadRequest, "bad first token"}
	case order.KVCache != nil && !fitsKV(order):
		return &refusal{http.StatusBadRequest, "KV cache of another request"}
	case run.attempts[order.AttemptID] != nil:
		return &refusal{http.StatusConflict, "attempt is in progress"}
	case run.loaded[order.Model].digest != order.Digest || order.Digest.IsZero():
		return &refusal{http.StatusNotFound, "version not loaded"}
	case len(run.queue) >= e.set.QueueLimit:
		return &refusal{http.StatusTooManyRequests, "queue full"}
	}
	return nil
}

// stream writes the tokens of an attempt as they are made.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *engineRun, a *attempt) {
	cut := e.take(cutStreams)
	for {
		select {
		case <-a.notify:
		case <-r.Context().Done():
			return
		case <-run.ctx.Done():
			panic(http.ErrAbortHandler)
		}
		tokens, done := e.collect(a)
		for _, token := range tokens {
			if cut && (token.Last || token.Index > a.order.From) {
				writeHalf(w, token)
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

func writeHalf(w http.ResponseWriter, token gooseberrypass.Token) {
	line, _ := json.Marshal(token)
	_, _ = w.Write(line[:len(line)/2])
	flush(w)
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}

// collect takes the tokens made since the last call.
func (e *Engine) collect(a *attempt) ([]gooseberrypass.Token, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := a.tokens
	a.tokens = nil
	return tokens, a.done
}

// remove takes an attempt out of the queue and the batch. It may be out already.
func (e *Engine) remove(run *engineRun, a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.attempts[a.order.AttemptID] == a {
		delete(run.attempts, a.order.AttemptID)
	}
	same := func(b *attempt) bool { return a == b }
	run.queue = slices.DeleteFunc(run.queue, same)
	run.running = slices.DeleteFunc(run.running, same)
	a.done = true
	a.wake()
}

// step makes one token for each attempt of the batch.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admit() {
		e.crash()
		return
	}
	for _, a := range e.run.running {
		if a.prefill > 0 {
			a.prefill--
			continue
		}
		a.makeToken()
	}
	e.run.running = slices.DeleteFunc(e.run.running, func(a *attempt) bool { return a.done })
	e.sampleLoad(e.clock.Now())
}

// admit fills the batch from the queue. It reports whether a prompt in it
// crashes the engine.
func (e *Engine) admit() bool {
	run := e.run
	n := min(len(run.queue), e.set.Capacity-len(run.running))
	now := e.clock.Now()
	for _, a := range run.queue[:n] {
		if strings.Contains(a.order.Prompt, e.set.CrashMark) {
			return true
		}
		hit := run.cache.touch(now, gooseberrypass.PrefixHash(a.order.Prompt))
		a.prefill = prefillSteps(a.order, hit)
		run.running = append(run.running, a)
	}
	run.queue = slices.Delete(run.queue, 0, n)
	return false
}

// prefillSteps returns the steps before the first token: none with a KV cache,
// and none for the part of the prompt that the prefix cache holds.
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

// replaceWeights makes the model's running attempts go on with other weights.
func (r *engineRun) replaceWeights(model gooseberrypass.ID, digest gooseberrypass.Digest) {
	for _, a := range r.attempts {
		if a.order.Model == model {
			a.digest = digest
		}
	}
}

func (e *Engine) deleteAttempt(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	run := e.run
	a, ok := run.attempts[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	e.remove(run, a)
	w.WriteHeader(http.StatusNoContent)
}
