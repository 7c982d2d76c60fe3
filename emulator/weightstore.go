package emulator

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/gooseberrypass/gooseberrypass"
)

// WeightStoreSettings are the limits of a WeightStore. 0 means no limit, unless
// the field says otherwise.
type WeightStoreSettings struct {
	Burst    int64 // bytes that may exceed the rate at once; 0 means MaxChunkSize
	ByteRate int64 // bytes per second, reads and writes together
	MaxBytes int64 // capacity in bytes
}

// A WeightStore emulates the platform's rate-limited chunk store.
type WeightStore struct {
	FaultInjector
	handler  http.Handler
	limiter  *rate.Limiter
	settings WeightStoreSettings

	mu        sync.Mutex
	chunks    map[gooseberrypass.Digest][]byte
	heldBytes int64
}

// NewWeightStore returns an empty store.
func NewWeightStore(clock gooseberrypass.Clock, settings WeightStoreSettings) *WeightStore {
	limit := rate.Inf
	if settings.ByteRate > 0 {
		limit = rate.Limit(settings.ByteRate)
	}
	s := &WeightStore{
		FaultInjector: FaultInjector{clock: clock},
		chunks:        map[gooseberrypass.Digest][]byte{},
		limiter:       rate.NewLimiter(limit, orDefault(int(settings.Burst), gooseberrypass.MaxChunkSize)),
		settings:      settings,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chunks/{digest}", s.get)
	mux.HandleFunc("PUT /chunks/{digest}", s.put)
	s.handler = s.withFaults(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *WeightStore) get(w http.ResponseWriter, r *http.Request) {
	digest, err := gooseberrypass.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	body, ok := s.chunks[digest]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	if !s.allow(w, len(body)) {
		return
	}
	if s.consume(corruptChunks) {
		body = corrupt(body)
	}
	_, _ = w.Write(body)
}

func (s *WeightStore) put(w http.ResponseWriter, r *http.Request) {
	digest, err := gooseberrypass.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, ok := readBody(w, r, gooseberrypass.MaxChunkSize)
	if !ok || !s.allow(w, len(body)) {
		return
	}
	if !s.store(digest, body) {
		http.Error(w, "store full", http.StatusInsufficientStorage)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// store saves a chunk. It returns false if the store is full.
func (s *WeightStore) store(digest gooseberrypass.Digest, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.heldBytes - int64(len(s.chunks[digest])) + int64(len(body))
	if s.settings.MaxBytes > 0 && held > s.settings.MaxBytes {
		return false
	}
	s.chunks[digest] = body
	s.heldBytes = held
	return true
}

// allow reports whether n bytes are within the rate. If not, it responds with
// status 429, or with 413 if n exceeds the burst.
func (s *WeightStore) allow(w http.ResponseWriter, n int) bool {
	now := s.clock.Now()
	reservation := s.limiter.ReserveN(now, n)
	if !reservation.OK() {
		http.Error(w, "more than the store's burst", http.StatusRequestEntityTooLarge)
		return false
	}
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return true
	}
	reservation.CancelAt(now)
	w.Header().Set("Retry-After", retryAfter(delay))
	http.Error(w, "over the store's rate", http.StatusTooManyRequests)
	return false
}

// retryAfter formats d as whole seconds, rounded up.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

var _ http.Handler = (*WeightStore)(nil)
