package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// DefaultCrashMark is the text in a prompt that crashes an engine.
const DefaultCrashMark = "crash-engine"

// EngineSettings describe an Engine. The zero value of a field stands for its
// default.
type EngineSettings struct {
	CacheEventLag  time.Duration // after which a cache event shows
	CacheEventLoss float64       // share of cache events that never show
	CachePrefixes  int           // prefixes the cache holds, default 64
	Capacity       int           // requests that run at once, default 8
	CrashMark      string        // default DefaultCrashMark
	Fenced         bool          // whether an order with an old fence is refused
	InPlace        bool          // whether a load changes the weights under running streams
	LoadLag        time.Duration // by which the reported load is late
	LoadTime       time.Duration // of a load, after its weights are read
	QueueLimit     int           // requests that wait, default 256
	RestartTime    time.Duration // from a crash until the engine answers again
	Seed           uint64        // of the losses of cache events
	TokenPeriod    time.Duration // between the tokens of a stream, default 5ms
	Unverified     bool          // whether a load takes chunks that differ from the manifest
}

func (s EngineSettings) withDefaults() EngineSettings {
	s.CachePrefixes = orDefault(s.CachePrefixes, 64)
	s.Capacity = orDefault(s.Capacity, 8)
	s.CrashMark = orDefault(s.CrashMark, DefaultCrashMark)
	s.QueueLimit = orDefault(s.QueueLimit, 256)
	s.TokenPeriod = orDefault(s.TokenPeriod, 5*time.Millisecond)
	return s
}

func orDefault[T comparable](value, def T) T {
	var zero T
	if value == zero {
		return def
	}
	return value
}

// An Engine stands in for a model engine. Every TokenPeriod it makes one token
// for each of the requests that run, and lets waiting ones in.
type Engine struct {
	FaultSwitch
	handler http.Handler
	http    *http.Client
	set     EngineSettings
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	boots   int
	loadErr error
	run     *engineRun
	upAt    time.Time
}

// NewEngine returns an engine with nothing loaded. It reads weights with
// httpClient. Close stops it.
func NewEngine(clock gooseberrypass.Clock, httpClient *http.Client, settings EngineSettings) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		FaultSwitch: FaultSwitch{clock: clock},
		http:        httpClient,
		set:         settings.withDefaults(),
		stop:        stop,
		upAt:        clock.Now(),
	}
	e.run = e.newRun()
	mux := http.NewServeMux()
	mux.HandleFunc("DELETE /attempts/{id}", e.deleteAttempt)
	mux.HandleFunc("GET /attempts/{id}/kv", e.getKV)
	mux.HandleFunc("GET /cache-events", e.getCacheEvents)
	mux.HandleFunc("GET /crashes", e.getCrashes)
	mux.HandleFunc("GET /state", e.getState)
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("POST /orders", e.postOrder)
	e.handler = e.wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.up() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	}))
	ticker := clock.NewTicker(e.set.TokenPeriod)
	e.wg.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				e.step()
			}
		}
	})
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

// Close stops the engine; its streams break off.
func (e *Engine) Close() error {
	e.stop()
	e.mu.Lock()
	e.run.cancel()
	e.mu.Unlock()
	e.wg.Wait()
	return nil
}

// Crash cuts every connection and loses all that the engine holds. It answers
// again after its restart time, with another boot id.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boots - 1
}

type crashesDocument struct {
	Crashes int `json:"crashes"`
}

func (e *Engine) getCrashes(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, crashesDocument{Crashes: e.Crashes()})
}

// LoadError returns why the last load failed, nil if it did not.
func (e *Engine) LoadError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadErr
}

// An engineRun is what an engine holds from one start to the next crash.
type engineRun struct {
	attempts map[string]*attempt // queued and running
	cache    *prefixCache
	cancel   context.CancelFunc
	ctx      context.Context
	fence    gooseberrypass.Fence
	id       string
	loaded   map[gooseberrypass.ID]loadedVersion
	loads    map[gooseberrypass.ID]*load
	queue    []*attempt // in order of admission
	reported gooseberrypass.EngineLoad
	reports  []gooseberrypass.EngineLoad
	role     gooseberrypass.EngineRole
	running  []*attempt
}

func (e *Engine) newRun() *engineRun {
	ctx, cancel := context.WithCancel(context.Background())
	e.boots++
	random := rand.New(rand.NewPCG(e.set.Seed, uint64(e.boots)))
	return &engineRun{
		attempts: map[string]*attempt{},
		cache:    newPrefixCache(e.set.CachePrefixes, e.set.CacheEventLoss, random),
		cancel:   cancel,
		ctx:      ctx,
		id:       fmt.Sprintf("%d-%d", e.clock.Now().UnixNano(), e.boots),
		loaded:   map[gooseberrypass.ID]loadedVersion{},
		loads:    map[gooseberrypass.ID]*load{},
		role:     gooseberrypass.EngineRoleMixed,
	}
}

func (e *Engine) crash() {
	e.run.cancel()
	e.run = e.newRun()
	e.upAt = e.clock.Now().Add(e.set.RestartTime)
}

func (e *Engine) up() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.clock.Now().Before(e.upAt)
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	stuck := e.Faults().StuckLoad
	e.mu.Lock()
	state := gooseberrypass.EngineState{
		BootID:  e.run.id,
		Fence:   e.run.fence,
		Load:    e.reportLoad(stuck),
		Loaded:  e.run.versions(),
		Loading: len(e.run.loads) > 0,
		Role:    e.run.role,
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// reportLoad returns the load as it was LoadLag ago.
func (e *Engine) reportLoad(stuck bool) gooseberrypass.EngineLoad {
	now := e.clock.Now()
	at := now.Add(-e.set.LoadLag)
	e.sampleLoad(now)
	if !stuck {
		e.run.dropReports(at)
		e.run.reported = e.run.reports[0]
	}
	reported := e.run.reported
	reported.Capacity = e.set.Capacity
	reported.At = at
	return reported
}

// sampleLoad notes the load if it changed.
func (e *Engine) sampleLoad(now time.Time) {
	run := e.run
	sample := gooseberrypass.EngineLoad{At: now, Queued: len(run.queue), Running: len(run.running)}
	if n := len(run.reports); n > 0 && run.reports[n-1].Queued == sample.Queued && run.reports[n-1].Running == sample.Running {
		return
	}
	run.reports = append(run.reports, sample)
	run.dropReports(now.Add(-e.set.LoadLag))
}

// dropReports drops the reports that a later one, not after at, stands for.
func (r *engineRun) dropReports(at time.Time) {
	drop := 0
	for drop+1 < len(r.reports) && !r.reports[drop+1].At.After(at) {
		drop++
	}
	r.reports = r.reports[drop:]
}

var _ http.Handler = (*Engine)(nil)
