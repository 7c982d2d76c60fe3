package demonstrator

import (
	"net/http"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// Settings of the emulators.
const (
	appendRate     = 300     // appends per second
	chunkSize      = 1 << 20 // bytes
	engineCapacity = 8       // concurrent requests
	maxIdlePerHost = 32
	listLag        = 500 * time.Millisecond
	loadLag        = 200 * time.Millisecond
	loadTime       = 300 * time.Millisecond
	serviceTime    = 20 * time.Millisecond
	storeByteRate  = 4 << 20 // bytes per second
	tokenPeriod    = 10 * time.Millisecond
)

// A platform is a set of emulators of the platform's services, each on its own
// port.
type platform struct {
	client    *http.Client
	clock     gooseberrypass.Clock
	engines   []*emulator.Engine
	list      *emulator.InstanceList
	listURL   string
	log       *emulator.Log
	logURL    string
	origin    *emulator.Origin
	originURL string
	servers   []*emulator.Server
	services  []*emulator.PlainService
	store     *emulator.WeightStore
	storeURL  string
	versions  map[string]*gooseberrypass.Manifest
}

func newPlatform(clock gooseberrypass.Clock) *platform {
	return &platform{
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost}},
		clock:    clock,
		list:     emulator.NewInstanceList(clock, listLag),
		log:      emulator.NewLog(clock, emulator.LogSettings{AppendRate: appendRate}),
		origin:   emulator.NewOrigin(clock, 0),
		store:    emulator.NewWeightStore(clock, emulator.WeightStoreSettings{ByteRate: storeByteRate}),
		versions: map[string]*gooseberrypass.Manifest{},
	}
}

// start serves the emulators on free loopback ports.
func (p *platform) start() error {
	for _, s := range []struct {
		handler http.Handler
		url     *string
	}{
		{p.list, &p.listURL},
		{p.log, &p.logURL},
		{p.origin, &p.originURL},
		{p.store, &p.storeURL},
	} {
		url, err := p.serve(s.handler)
		if err != nil {
			return err
		}
		*s.url = url
	}
	return nil
}

// serve serves one emulator and returns its base URL.
func (p *platform) serve(handler http.Handler) (string, error) {
	server, err := emulator.Serve(loopbackAddress, handler)
	if err != nil {
		return "", err
	}
	p.servers = append(p.servers, server)
	return server.URL(), nil
}

// startEngine starts an engine and returns it with its base URL.
func (p *platform) startEngine(seed uint64) (*emulator.Engine, string, error) {
	engine := emulator.NewEngine(p.clock, p.client, emulator.EngineSettings{
		Capacity:    engineCapacity,
		LoadLag:     loadLag,
		LoadTime:    loadTime,
		Seed:        seed,
		TokenPeriod: tokenPeriod,
	})
	p.engines = append(p.engines, engine)
	url, err := p.serve(engine)
	return engine, url, err
}

// putVersion stores a version at the origin.
func (p *platform) putVersion(version string, weights []byte) error {
	manifest, err := emulator.MakeManifest(modelName, version, gooseberrypass.Digest{}, weights, chunkSize)
	if err != nil {
		return err
	}
	p.origin.Put(modelName, version, manifest.Encoded(), weights)
	p.versions[version] = manifest
	return nil
}

// newBytes returns the size in bytes of the chunks of a version that are not also
// in other. If other is "", these are all chunks.
func (p *platform) newBytes(version, other string) int64 {
	held := map[gooseberrypass.Digest]bool{}
	if m := p.versions[other]; m != nil {
		for i := range m.Len() {
			held[m.Chunk(i).Digest] = true
		}
	}
	var n int64
	m := p.versions[version]
	for i := range m.Len() {
		if c := m.Chunk(i); !held[c.Digest] {
			n += c.Size
		}
	}
	return n
}

// duplicateRuns returns the number of unrepeatable calls that ran more than once.
func (p *platform) duplicateRuns() int {
	runs := map[string]int{}
	for _, s := range p.services {
		for _, r := range s.Runs() {
			if r.Call == callCharge {
				runs[r.Key]++
			}
		}
	}
	duplicates := 0
	for _, n := range runs {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}

// startService starts a plain service and returns its base URL.
func (p *platform) startService() (string, error) {
	s := emulator.NewPlainService(p.clock, serviceTime)
	p.services = append(p.services, s)
	return p.serve(s)
}

// stop stops the emulators.
func (p *platform) stop() {
	for _, e := range p.engines {
		_ = e.Close()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.client.CloseIdleConnections()
}
