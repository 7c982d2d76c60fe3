//go:build review

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The model of the small deployments.
const (
	modelName   = "daka510000"
	modelChunks = 96
	chunkBytes  = 24576
	engineSlots = 16
	engineName  = "huvo11a"
	originName  = "kafi81c"
)

// chunkBody returns the bytes of a piece.
func chunkBody(version, index int) []byte {
	seed := sha256.Sum256([]byte(strconv.Itoa(version*1000 + index)))
	body := make([]byte, chunkBytes)
	for i := range body {
		body[i] = seed[i%len(seed)] ^ byte(i)
	}
	return body
}

// startOrigin starts a sound origin of weights.
func startOrigin(ip string) (string, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			version, _ := strconv.Atoi(r.URL.Query().Get("Version"))
			if strings.HasPrefix(r.URL.Path, "/v1/manifest/") {
				digests := make([]string, 0, modelChunks)
				for i := range modelChunks {
					sum := sha256.Sum256(chunkBody(version, i))
					digests = append(digests, hex.EncodeToString(sum[:]))
				}
				_ = json.NewEncoder(w).Encode(map[string]any{"Model": modelName, "Version": version, "ChunkBytes": chunkBytes, "layers": 16, "Digests": digests})
				return
			}
			index, _ := strconv.Atoi(r.URL.Query().Get("Num"))
			time.Sleep(27 * time.Millisecond) // at 7.3 Mbit/s
			_, _ = w.Write(chunkBody(version, index))
		}))
	}()
	return lis.Addr().String(), nil
}

// engineServices returns the services of a deployment with engines.
func engineServices(origin string) []map[string]any {
	return []map[string]any{
		{"Name": engineName, "HealthPath": "/healthz", "MaxConns": 344, "Engine": map[string]any{
			"Slots": engineSlots, "KvCapacity": 1640000, "KvBytes": 163840, "Stride": 6, "Models": []any{map[string]any{"Name": modelName, "pace": 1.0, "LoadS": 4.0, "WarmS": 0.3}},
			"SizeMb": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048,
			"usual": map[string]any{"prompt": 964, "answer": 119}, "layers": 16, "layer_mb": 4540.0, "Chunks": modelChunks, "ChunkBytes": chunkBytes,
		}},
		{"Name": originName, "Origin": origin, "Zone": "musanze-a", "LinkMbps": 7.3, "MaxConns": 48},
	}
}

// endlessPause is the pause between two pieces of bytes without end.
const endlessPause = 4 * time.Millisecond

// An engine is a model worker. It is sound unless endless is set.
type engine struct {
	address string
	born    int64
	id      string
	name    string
	play    *play
	store   *store

	mu      sync.Mutex
	busy    bool
	crashOn string // a part of a prompt on which the engine crashes when it begins to write
	endless bool   // staged pieces come as bytes without end
	onBegin func(id string)
	server  *http.Server // nil while it is down
	loaded  int
	orders  int
	running int
	seq     int
	starts  int
	stage   map[int][]byte
}

func startEngine(p *play, ip, id string, s *store, loaded int) (*engine, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	e := &engine{address: lis.Addr().String(), born: time.Now().UnixMilli(), id: id, loaded: loaded, name: id, play: p, stage: map[int][]byte{}, store: s}
	for i := range modelChunks {
		if loaded > 0 {
			e.stage[i] = chunkBody(loaded, i)
		}
	}
	e.serve(lis)
	go func() {
		for {
			e.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e, nil
}

func (e *engine) serve(lis net.Listener) {
	e.server = &http.Server{Handler: e}
	server := e.server
	go func() { _ = server.Serve(lis) }()
}

// crashTime is how long an engine that has crashed is down.
const crashTime = 2 * time.Second

// crash ends the engine with all that it runs. It starts again under another ID: without
// layers, but with what was staged. Its record goes, as its heartbeats end.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	if server == nil {
		e.mu.Unlock()
		return
	}
	e.server = nil
	id := e.id
	e.loaded, e.orders, e.busy, e.running = 0, 0, false, 0
	e.mu.Unlock()
	_ = server.Close()
	e.play.note("engine %s has crashed", id)
	time.Sleep(crashTime)
	var lis net.Listener
	var err error
	for range 50 {
		if lis, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		e.play.note("engine %s does not come back: %v", id, err)
		return
	}
	e.store.put("keyed.servers", id, nil)
	e.mu.Lock()
	e.starts++
	e.id, e.born, e.seq = fmt.Sprintf("%s-%d", e.name, e.starts), time.Now().UnixMilli(), 0
	e.serve(lis)
	e.mu.Unlock()
	e.register()
}

// stream runs a request for the model.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	server, version, own := e.server, e.loaded, e.id
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", own)
	expected, _ := strconv.Atoi(r.Header.Get("X-Expected-Version"))
	switch {
	case r.Header.Get("X-Target-Instance") != own || version == 0 || expected > 0 && expected != version:
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.busy || e.running >= engineSlots:
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.server == server {
			e.running--
		}
		e.mu.Unlock()
	}()
	time.Sleep(40 * time.Millisecond)
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set("X-Server-Seal", "seal-"+id)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	if e.onBegin != nil {
		e.onBegin(id)
	}
	if e.crashOn != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), e.crashOn+":") {
		e.play.note("engine %s begins to write the answer to %s", own, id)
		go e.crash()
		<-r.Context().Done()
		return
	}
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i < 20; i++ {
		time.Sleep(40 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, version); err != nil || control.Flush() != nil {
			return
		}
	}
}

func (e *engine) models() []any {
	if e.loaded == 0 {
		return []any{}
	}
	return []any{map[string]any{"Name": modelName, "Version": e.loaded, "Adapters": []string{}}}
}

func (e *engine) register() {
	e.mu.Lock()
	if e.server == nil {
		e.mu.Unlock()
		return
	}
	e.seq++
	doc := map[string]any{
		"Service": engineName, "Address": e.address, "Zone": "musanze-a", "Version": "v1", "Slots": engineSlots, "State": "ready", "ColdLeftMs": 0, "Stage": "mixed", "Models": e.models(), "Seq": e.seq, "born": e.born,
	}
	e.mu.Unlock()
	e.store.putJSON("keyed.servers", e.id, doc)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("Num"))
	switch {
	case r.URL.Path == "/v1/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "mixed", "Models": e.models(), "Busy": e.busy, "Seq": e.orders, "Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 1640000, "Handles": 0, "born": e.born, "pace": 1.0})
	case r.URL.Path == "/v1/order":
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-put/"):
		if body, err := io.ReadAll(r.Body); err == nil {
			e.mu.Lock()
			e.stage[n] = body
			e.mu.Unlock()
			e.play.note("engine %s: piece %d staged, %d bytes", e.name, n, len(body))
		}
	case strings.HasPrefix(r.URL.Path, "/v1/stage-get/"):
		e.readStage(w, r, n)
	default:
		e.stream(w, r)
	}
}

func (e *engine) readStage(w http.ResponseWriter, r *http.Request, n int) {
	e.mu.Lock()
	body, ok := e.stage[n]
	held := make([]int, 0, len(e.stage))
	for i := range e.stage {
		held = append(held, i)
	}
	endless := e.endless
	e.mu.Unlock()
	switch {
	case !r.URL.Query().Has("Num"):
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
	case !ok:
		http.NotFound(w, r)
	case !endless:
		_, _ = w.Write(body)
		e.play.note("engine %s: piece %d read, %d bytes", e.name, n, len(body))
	default:
		junk := make([]byte, 512<<10)
		sent := 0
		for r.Context().Err() == nil {
			k, err := w.Write(junk)
			if sent += k; err != nil {
				break
			}
			time.Sleep(time.Until(time.Now().Truncate(endlessPause).Add(endlessPause)))
		}
		e.play.note("engine %s: piece %d came without end, the caller closed after %d bytes", e.id, n, sent)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var doc struct {
		Expect  *int
		Op      string
		Version int
	}
	if json.NewDecoder(r.Body).Decode(&doc) != nil || doc.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || doc.Expect != nil && *doc.Expect != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case e.loaded == doc.Version:
		return
	}
	wrong := 0
	for i := range modelChunks {
		if string(e.stage[i]) != string(chunkBody(doc.Version, i)) {
			wrong++
		}
	}
	e.orders++
	e.busy = true
	e.play.note("engine %s takes order %d: version %d, %d pieces missing or wrong", e.id, e.orders, doc.Version, wrong)
	time.AfterFunc(300*time.Millisecond, func() {
		e.mu.Lock()
		e.loaded, e.busy = doc.Version, false
		e.mu.Unlock()
		e.register()
	})
	w.WriteHeader(http.StatusAccepted)
}

// startSidecar starts a sidecar of the template deploy/sidecar.ini beside an engine.
func (p *play) startSidecar(n int, e *engine, storeAddress string) (*process, error) {
	ip := p.ip(30 + n)
	var ports [2]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	name := fmt.Sprintf("side-%d", n)
	return p.start(name, "sidecar", fmt.Sprintf("[machine]\nengine = %s\nfailure-domain = musanze-a\ninstance = %s\nlink = 7.3\nlisten = %s\nmemory = %dMiB\nmetrics-listen = %s\nregion = musanze\nregions = musanze-a=musanze\nservice = %s\nstore = %s\n",
		e.address, name, ports[0], sideMemory, ports[1], engineName, storeAddress)+boundsText)
}
