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

// WeightStoreSettings are the limits of a WeightStore. 0 stands for no limit.
type WeightStoreSettings struct {
	Burst    int64 // bytes at once above the rate, MaxChunkSize for 0
	ByteRate int64 // bytes a second, both ways together
	MaxBytes int64 // bytes held
}

// A WeightStore stands in for the platform's rate-limited store of chunks.
type WeightStore struct {
	FaultSwitch
	handler http.Handler
	limiter *rate.Limiter
	set     WeightStoreSettings

	mu     sync.Mutex
	chunks map[gooseberrypass.Digest][]byte
	held   int64
}

// NewWeightStore returns an empty store.
func NewWeightStore(clock gooseberrypass.Clock, settings WeightStoreSettings) *WeightStore {
	limit := rate.Inf
	if settings.ByteRate > 0 {
		limit = rate.Limit(settings.ByteRate)
	}
	s := &WeightStore{
		FaultSwitch: FaultSwitch{clock: clock},
		chunks:      map[gooseberrypass.Digest][]byte{},
		limiter:     rate.NewLimiter(limit, orDefault(int(settings.Burst), gooseberrypass.MaxChunkSize)),
		set:         settings,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chunks/{digest}", s.get)
	mux.HandleFunc("PUT /chunks/{digest}", s.put)
	s.handler = s.wrap(mux)
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
	if !s.admit(w, len(body)) {
		return
	}
	if s.take(corruptChunks) {
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
	if !ok || !s.admit(w, len(body)) {
		return
	}
	if !s.store(digest, body) {
		http.Error(w, "store full", http.StatusInsufficientStorage)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *WeightStore) store(digest gooseberrypass.Digest, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held - int64(len(s.chunks[digest])) + int64(len(body))
	if s.set.MaxBytes > 0 && held > s.set.MaxBytes {
		return false
	}
	s.chunks[digest] = body
	s.held = held
	return true
}

// admit answers 429 and returns false if n bytes are too many now.
func (s *WeightStore) admit(w http.ResponseWriter, n int) bool {
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

// retryAfter returns d in whole seconds, rounded up.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

var _ http.Handler = (*WeightStore)(nil)
