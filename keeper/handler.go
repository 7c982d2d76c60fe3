package keeper

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
	// Pattern is where the handler stands in a http.ServeMux.
	Pattern = "GET /chunks/{digest}"
	// StateHeader tells on a 503 whether the chunk is on its way.
	StateHeader = "Chunk-State"
	// StatePending is the value of StateHeader for a chunk on its way.
	StatePending = "pending"
	// WaitParam names the query value that tells how long to wait.
	WaitParam = "wait"
)

const (
	maxUploads   = 8
	maxWait      = time.Minute
	maxWaiting   = 4096
	retrySeconds = "1"
)

// A Handler answers GET /chunks/{digest}?wait=DURATION. It answers 404 for a
// chunk that is neither held nor wanted, and 503 with Retry-After when it is
// busy, stops, or the chunk has not come within the wait.
type Handler struct {
	keeper  *Keeper
	pacer   *Pacer
	sent    prometheus.Counter
	uploads chan struct{}
	waiting chan struct{}

	mu       sync.Mutex
	inFlight int
	idle     chan struct{} // closed once stopping and nothing is in flight
	stopping chan struct{}
}

// NewHandler returns a handler that sends the chunks of a keeper.
func NewHandler(keeper *Keeper, pacer *Pacer, registerer prometheus.Registerer) (*Handler, error) {
	h := &Handler{
		idle:   make(chan struct{}),
		keeper: keeper,
		pacer:  pacer,
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_chunk_sent_bytes_total",
			Help: "Bytes of chunks sent to other instances.",
		}),
		stopping: make(chan struct{}),
		uploads:  make(chan struct{}, maxUploads),
		waiting:  make(chan struct{}, maxWaiting),
	}
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberrypass_chunk_held_bytes",
		Help: "Bytes of chunks in memory.",
	}, func() float64 { return float64(keeper.Bytes()) })
	for _, c := range []prometheus.Collector{h.sent, held} {
		if err := registerer.Register(c); err != nil {
			return nil, errors.Wrap(err, "register chunk metrics")
		}
	}
	return h, nil
}

// SetUploads changes how many chunks are sent at once. It must be called before
// the first request.
func (h *Handler) SetUploads(n int) { h.uploads = make(chan struct{}, n) }

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
	if !h.enter() {
		unavailable(w, "stopping")
		return
	}
	defer h.exit()
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	body, err := h.await(ctx, digest)
	if err != nil {
		refuse(w, err)
		return
	}
	defer func() { <-h.uploads }()
	h.send(r.Context(), w, body)
}

// errBusy is returned when no upload can start for the number of others.
var errBusy = errors.New("too many chunks asked for")

// await returns the chunk with an upload slot taken.
func (h *Handler) await(ctx context.Context, digest gooseberrypass.Digest) ([]byte, error) {
	select {
	case h.waiting <- struct{}{}:
		defer func() { <-h.waiting }()
	default:
		return nil, errBusy
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go h.cancelOnStop(ctx, cancel)
	body, err := h.keeper.Await(ctx, digest)
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
		panic(http.ErrAbortHandler) // the receiver sees a cut body
	}
}

// Stop refuses new uploads, ends the waits and returns once the uploads in
// progress have ended, or with the error of ctx.
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
		return errors.Wrap(ctx.Err(), "chunk uploads in progress")
	}
}

func (h *Handler) enter() bool {
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

func (h *Handler) exit() {
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

func refuse(w http.ResponseWriter, err error) {
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
	w.Header().Set("Retry-After", retrySeconds)
	http.Error(w, text, http.StatusServiceUnavailable)
}

var _ http.Handler = (*Handler)(nil)
