//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The model and the engines, as the site file has them.
const (
	modelName    = "daka510000"
	engineSlots  = 16
	eventTime    = 40 * time.Millisecond
	pieceTime    = 27 * time.Millisecond // of a piece over the link of the origin, 7.3 Mbit/s
	streamEvents = 40
	warmTime     = 300 * time.Millisecond
)

// The weights of a version. A case may have smaller ones than the site file.
var (
	chunkTotal  = 96
	chunkLength = 24576 // bytes
)

// pieceOf returns the bytes of a piece.
func pieceOf(version, index int) []byte {
	seed := sha256.Sum256([]byte(strconv.Itoa(1000*version + index)))
	return bytes.Repeat(seed[:], chunkLength/len(seed))
}

// An origin is a sound origin of weights: it sends what is asked for, at the rate of its link.
type origin struct {
	newest atomic.Int64 // version that the operator named last

	mu   sync.Mutex // held while bytes are sent
	sent int        // bytes
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("Version"))
	if err != nil {
		version = int(o.newest.Load())
	}
	if int64(version) <= o.newest.Load()-2 {
		w.WriteHeader(http.StatusGone)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/v1/manifest/") {
		digests := make([]string, 0, chunkTotal)
		for i := range chunkTotal {
			sum := sha256.Sum256(pieceOf(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"Model": modelName, "Version": version, "ChunkBytes": chunkLength, "layers": 16, "Digests": digests})
		return
	}
	index, err := strconv.Atoi(r.URL.Query().Get("Num"))
	if err != nil || index < 0 || index >= chunkTotal {
		http.NotFound(w, r)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	time.Sleep(pieceTime)
	o.sent += chunkLength
	_, _ = w.Write(pieceOf(version, index))
}

// An engine is a sound model worker.
type engine struct {
	address string
	born    int64 // Unix milliseconds
	id      string
	record  *recorder
	store   *store
	zone    string

	onOrder    func(version int) // called when an order arrives, may be nil
	orderDelay time.Duration     // until an order is taken up

	mu      sync.Mutex
	broken  int  // requests that have run on a load with a piece of another version
	busy    bool // an order is in progress
	loaded  int  // version
	ordered int  // version that it was last ordered to load
	orders  int  // accepted
	running int
	staged  map[int][]byte
	tainted bool // the load has a piece that is missing or of another version
	writes  int
}

// startEngine starts an engine that holds version 1, which is also staged.
func startEngine(s *store, r *recorder, id, zone string) (*engine, error) {
	e := &engine{born: time.Now().UnixMilli(), id: id, loaded: 1, record: r, staged: map[int][]byte{}, store: s, zone: zone}
	for i := range chunkTotal {
		e.staged[i] = pieceOf(1, i)
	}
	var err error
	if e.address, err = serve(e); err != nil {
		return nil, err
	}
	go func() {
		for {
			e.register()
			time.Sleep(heartbeat)
		}
	}()
	return e, nil
}

// models returns the loaded models. The caller holds mu.
func (e *engine) models() []map[string]any {
	if e.loaded == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"Name": modelName, "Version": e.loaded, "Adapters": []string{}}}
}

func (e *engine) register() {
	e.mu.Lock()
	e.writes++
	doc := map[string]any{
		"Service": "engines", "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": engineSlots, "State": "ready",
		"ColdLeftMs": 0, "Stage": "mixed", "Models": e.models(), "Seq": e.writes, "born": e.born,
	}
	e.mu.Unlock()
	e.store.putJSON("keyed.servers", e.id, doc)
}

// version returns the loaded version.
func (e *engine) version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"Stage": "mixed", "Models": e.models(), "Busy": e.busy, "Seq": e.orders, "Waiting": 0, "Running": e.running,
			"KvUsed": 0, "KvTotal": 1640000, "Handles": 0, "pace": 1, "born": e.born,
		})
	case r.URL.Path == "/v1/order":
		e.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-put/"):
		e.servePut(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-get/"):
		e.serveGet(w, r)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	index, numErr := strconv.Atoi(r.URL.Query().Get("Num"))
	if err != nil || numErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = body
}

func (e *engine) serveGet(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	text := r.URL.Query().Get("Num")
	if text == "" {
		held := make([]int, 0, len(e.staged))
		for i := range chunkTotal {
			if e.staged[i] != nil {
				held = append(held, i)
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
		return
	}
	index, _ := strconv.Atoi(text)
	body, ok := e.staged[index]
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Expect  *int
		Op      string
		Model   string
		Version int
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Op != "start" || order.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.onOrder != nil {
		e.onOrder(order.Version)
	}
	time.Sleep(e.orderDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || order.Expect != nil && *order.Expect != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case e.loaded == order.Version:
		return
	}
	e.orders++
	e.busy, e.ordered = true, order.Version
	wrong := 0
	for i := range chunkTotal {
		if !bytes.Equal(e.staged[i], pieceOf(order.Version, i)) {
			wrong++
		}
	}
	e.record.add("engine %s accepts the order to load version %d, %d of %d pieces are missing or of another version", e.id, order.Version, wrong, chunkTotal)
	go e.load(order.Version, wrong > 0)
	w.WriteHeader(http.StatusAccepted)
}

// load loads a version after what is running.
func (e *engine) load(version int, tainted bool) {
	for e.working() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(warmTime)
	e.mu.Lock()
	e.loaded, e.busy, e.tainted = version, false, tainted
	e.mu.Unlock()
	e.record.add("engine %s has loaded version %d", e.id, version)
	e.register()
}

func (e *engine) working() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running > 0
}

// serveRequest runs a stream.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	version, status := e.admit(r)
	if status != http.StatusOK {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer e.release()
	e.record.add("%s runs at %s on version %d", id, e.id, version)
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Seal", "seal-"+id)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	control := http.NewResponseController(w)
	for i := first; i < streamEvents; i++ {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", i, id, e.id); err != nil || control.Flush() != nil {
			return
		}
	}
}

// admit returns the version on which a request runs, or the status with which it is rejected.
func (e *engine) admit(r *http.Request) (int, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected, _ := strconv.Atoi(r.Header.Get("X-Expected-Version"))
	switch {
	case r.Header.Get("X-Target-Instance") != e.id || e.loaded == 0 || expected > 0 && expected != e.loaded:
		return 0, http.StatusMisdirectedRequest
	case e.busy || e.running >= engineSlots:
		return 0, http.StatusServiceUnavailable
	}
	e.running++
	if e.tainted {
		e.broken++
		e.record.add("%s runs at %s on a load with pieces that are missing or of another version", r.Header.Get("X-Attempt-Id"), e.id)
	}
	return e.loaded, http.StatusOK
}

func (e *engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
