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

// DefaultCrashMark is the default text whose presence in a prompt crashes an
// Engine.
const DefaultCrashMark = "crash-engine"

// EngineSettings configures an Engine. The zero value of a field selects its
// default.
type EngineSettings struct {
	CacheEventLag  time.Duration // time until a cache event is reported
	CacheEventLoss float64       // fraction of cache events never reported, 0 to 1
	CachePrefixes  int           // capacity of the prefix cache, default 64
	Capacity       int           // concurrent requests, default 8
	CrashMark      string        // text in a prompt that crashes the engine, default DefaultCrashMark
	Fenced         bool          // refuse orders with a fence below the last one
	InPlace        bool          // switch running streams to the loaded weights
	LoadLag        time.Duration // age of the reported load
	LoadTime       time.Duration // duration of a load after its weights are read
	QueueLimit     int           // maximum queued requests, default 256
	RestartTime    time.Duration // time from a crash until requests are accepted
	Seed           uint64        // seed of the choice of lost cache events
	TokenPeriod    time.Duration // interval between the tokens of a stream, default 5ms
	Unverified     bool          // accept chunks that do not match the manifest
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

// An Engine emulates a model engine. Every TokenPeriod it generates one token
// for each running request and starts queued requests in the free slots.
type Engine struct {
	FaultInjector
	handler  http.Handler
	http     *http.Client
	settings EngineSettings
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu        sync.Mutex
	boot      *engineBoot
	bootCount int
	loadErr   error
	upAt      time.Time // end of the restart
}

// NewEngine returns an engine with no model loaded. It downloads weights with
// httpClient. The caller must call Close to stop it.
func NewEngine(clock gooseberrypass.Clock, httpClient *http.Client, settings EngineSettings) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		FaultInjector: FaultInjector{clock: clock},
		http:          httpClient,
		settings:      settings.withDefaults(),
		stop:          stop,
		upAt:          clock.Now(),
	}
	e.boot = e.newBoot()
	mux := http.NewServeMux()
	mux.HandleFunc("DELETE /attempts/{id}", e.deleteAttempt)
	mux.HandleFunc("GET /attempts/{id}/kv", e.getKV)
	mux.HandleFunc("GET /cache-events", e.getCacheEvents)
	mux.HandleFunc("GET /crashes", e.getCrashes)
	mux.HandleFunc("GET /state", e.getState)
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("POST /orders", e.postOrder)
	e.handler = e.withFaults(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.up() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	}))
	ticker := clock.NewTicker(e.settings.TokenPeriod)
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

// Close stops the engine and aborts its streams.
func (e *Engine) Close() error {
	e.stop()
	e.mu.Lock()
	e.boot.cancel()
	e.mu.Unlock()
	e.wg.Wait()
	return nil
}

// Crash aborts all streams and discards the engine's state. The engine has a new
// boot ID and closes the connection of every request until RestartTime has
// passed.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootCount - 1
}

type crashesDocument struct {
	Crashes int `json:"crashes"`
}

func (e *Engine) getCrashes(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, crashesDocument{Crashes: e.Crashes()})
}

// LoadError returns the error of the last load that ended, or nil if it
// succeeded.
func (e *Engine) LoadError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadErr
}

// An engineBoot is the state of an engine between a start and the next crash.
type engineBoot struct {
	attempts     map[string]*attempt // queued and running
	cache        *prefixCache
	cancel       context.CancelFunc
	ctx          context.Context
	fence        gooseberrypass.Fence
	id           string
	lastReported gooseberrypass.EngineLoad // repeated while the load is stuck
	loaded       map[gooseberrypass.ID]loadedVersion
	loads        map[gooseberrypass.ID]*load
	queue        []*attempt // waiting attempts, by descending priority, then arrival
	role         gooseberrypass.EngineRole
	running      []*attempt
	samples      []gooseberrypass.EngineLoad // changes of the load within LoadLag, and the one before
}

// newBoot returns the state of a freshly started engine. e.mu must be held
// unless e is still being built.
func (e *Engine) newBoot() *engineBoot {
	ctx, cancel := context.WithCancel(context.Background())
	e.bootCount++
	random := rand.New(rand.NewPCG(e.settings.Seed, uint64(e.bootCount)))
	return &engineBoot{
		attempts: map[string]*attempt{},
		cache:    newPrefixCache(e.settings.CachePrefixes, e.settings.CacheEventLoss, random),
		cancel:   cancel,
		ctx:      ctx,
		id:       fmt.Sprintf("%d-%d", e.clock.Now().UnixNano(), e.bootCount),
		loaded:   map[gooseberrypass.ID]loadedVersion{},
		loads:    map[gooseberrypass.ID]*load{},
		role:     gooseberrypass.EngineRoleMixed,
	}
}

// crash implements Crash. e.mu must be held.
func (e *Engine) crash() {
	e.boot.cancel()
	e.boot = e.newBoot()
	e.upAt = e.clock.Now().Add(e.settings.RestartTime)
}

// up reports whether the engine accepts requests, that is, is not restarting.
func (e *Engine) up() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.clock.Now().Before(e.upAt)
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	stuck := e.Faults().StuckLoad
	e.mu.Lock()
	state := gooseberrypass.EngineState{
		BootID:  e.boot.id,
		Fence:   e.boot.fence,
		Load:    e.reportedLoad(stuck),
		Loaded:  e.boot.versions(),
		Loading: len(e.boot.loads) > 0,
		Role:    e.boot.role,
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// reportedLoad returns the load as it was LoadLag ago, or the load reported last
// if stuck is true. e.mu must be held.
func (e *Engine) reportedLoad(stuck bool) gooseberrypass.EngineLoad {
	now := e.clock.Now()
	at := now.Add(-e.settings.LoadLag)
	e.sampleLoad(now)
	if !stuck {
		e.boot.dropSamplesBefore(at)
		e.boot.lastReported = e.boot.samples[0]
	}
	reported := e.boot.lastReported
	reported.Capacity = e.settings.Capacity
	reported.At = at
	return reported
}

// sampleLoad records the load if it has changed. e.mu must be held.
func (e *Engine) sampleLoad(now time.Time) {
	boot := e.boot
	sample := gooseberrypass.EngineLoad{At: now, Queued: len(boot.queue), Running: len(boot.running)}
	if n := len(boot.samples); n > 0 && boot.samples[n-1].Queued == sample.Queued && boot.samples[n-1].Running == sample.Running {
		return
	}
	boot.samples = append(boot.samples, sample)
	boot.dropSamplesBefore(now.Add(-e.settings.LoadLag))
}

// dropSamplesBefore drops the samples older than the one in effect at the given
// time.
func (b *engineBoot) dropSamplesBefore(at time.Time) {
	drop := 0
	for drop+1 < len(b.samples) && !b.samples[drop+1].At.After(at) {
		drop++
	}
	b.samples = b.samples[drop:]
}

var _ http.Handler = (*Engine)(nil)
