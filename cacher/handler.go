package cacher

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// The chunk protocol.
const (
	// Pattern is the http.ServeMux pattern of a Handler.
	Pattern = "GET /chunks/{digest}"
	// StateHeader is the header of a 503 response with the state of the chunk.
	StateHeader = "Chunk-State"
	// StatePending is the value of StateHeader for a chunk that is wanted but not
	// held yet.
	StatePending = "pending"
	// WaitParam is the query parameter with the maximum time to wait for a chunk,
	// as a duration such as 5s.
	WaitParam = "wait"
)

const (
	maxUploads        = 8 // concurrent uploads unless SetMaxUploads is called
	maxWait           = time.Minute
	maxWaiters        = 4096 // concurrent requests that wait for a chunk or an upload slot
	retryAfterSeconds = "1"
)

// A Handler serves GET /chunks/{digest}?wait=DURATION. It answers 404 for a chunk
// that is neither held nor wanted, and 503 with Retry-After if it is overloaded or
// stopping, or if the chunk did not arrive within the wait.
type Handler struct {
	cacher  *Cacher
	pacer   *Pacer
	sent    prometheus.Counter
	uploads chan struct{} // one element for each running upload
	waiting chan struct{} // one element for each waiting request

	mu       sync.Mutex
	inFlight int           // requests in progress
	idle     chan struct{} // closed once stopping and no request is in progress
	stopping chan struct{} // closed by Stop
}

// NewHandler returns a handler that serves the chunks of a cacher.
func NewHandler(cacher *Cacher, pacer *Pacer, registerer prometheus.Registerer) (*Handler, error) {
	h := &Handler{
		cacher: cacher,
		idle:   make(chan struct{}),
		pacer:  pacer,
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_chunk_sent_bytes_total",
			Help: "Bytes of chunks sent to other instances.",
		}),
		stopping: make(chan struct{}),
		uploads:  make(chan struct{}, maxUploads),
		waiting:  make(chan struct{}, maxWaiters),
	}
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberrypass_chunk_held_bytes",
		Help: "Bytes of chunks in memory.",
	}, func() float64 { return float64(cacher.Bytes()) })
	for _, c := range []prometheus.Collector{h.sent, held} {
		if err := registerer.Register(c); err != nil {
			return nil, errors.Wrap(err, "register chunk metrics")
		}
	}
	return h, nil
}

// SetMaxUploads sets the maximum number of concurrent uploads. It must be called
// before the first request.
func (h *Handler) SetMaxUploads(n int) { h.uploads = make(chan struct{}, n) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	digest, err := gooseberrypass.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := parseWait(r.URL.Query().Get(WaitParam))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.begin() {
		unavailable(w, "stopping")
		return
	}
	defer h.end()
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	body, err := h.awaitUpload(ctx, digest)
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { <-h.uploads }()
	h.send(r.Context(), w, body)
}

// errBusy is returned if there are too many waiting requests, or no upload slot
// became free in time.
var errBusy = errors.New("too many chunks asked for")

// awaitUpload waits for a chunk and an upload slot. The caller must free the slot
// unless an error is returned.
func (h *Handler) awaitUpload(ctx context.Context, digest gooseberrypass.Digest) ([]byte, error) {
	select {
	case h.waiting <- struct{}{}:
		defer func() { <-h.waiting }()
	default:
		return nil, errBusy
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go h.cancelOnStop(ctx, cancel)
	body, err := h.cacher.Await(ctx, digest)
	if err != nil {
		return nil, err
	}
	select {
	case h.uploads <- struct{}{}:
		return body, nil
	default:
	}
	select {
	case h.uploads <- struct{}{}:
		return body, nil
	case <-ctx.Done():
		return nil, errBusy
	}
}

func (h *Handler) cancelOnStop(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-h.stopping:
		cancel()
	case <-ctx.Done():
	}
}

func (h *Handler) send(ctx context.Context, w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	n, err := h.pacer.Send(ctx, w, body)
	h.sent.Add(float64(n))
	if err != nil {
		panic(http.ErrAbortHandler) // makes the receiver see a truncated body
	}
}

// Stop rejects new requests, ends those that wait and waits for the uploads in
// progress. It returns an error if ctx is done before they end.
func (h *Handler) Stop(ctx context.Context) error {
	h.mu.Lock()
	select {
	case <-h.stopping:
	default:
		close(h.stopping)
		if h.inFlight == 0 {
			close(h.idle)
		}
	}
	h.mu.Unlock()
	select {
	case <-h.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for chunk uploads in progress")
	}
}

// begin counts a request as in progress. It reports false if the handler is
// stopping.
func (h *Handler) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.stopping:
		return false
	default:
	}
	h.inFlight++
	return true
}

// end counts a request as ended, and closes idle after the last one when stopping.
func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.inFlight > 0 {
		return
	}
	select {
	case <-h.stopping:
		close(h.idle)
	default:
	}
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, errors.Errorf("%s=%q: want a duration such as 5s", WaitParam, text)
	}
	return min(wait, maxWait), nil
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, gooseberrypass.ErrChunkNotHeld):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, errBusy):
		unavailable(w, err.Error())
	default:
		w.Header().Set(StateHeader, StatePending)
		unavailable(w, "chunk not here yet")
	}
}

func unavailable(w http.ResponseWriter, text string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, text, http.StatusServiceUnavailable)
}

var _ http.Handler = (*Handler)(nil)
