package demonstrator

import (
	"net/http"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// The settings of the stand-ins.
const (
	appendRate     = 300 // appends a second
	chunkSize      = 1 << 20
	engineCapacity = 8
	idlePerHost    = 32
	listLag        = 500 * time.Millisecond
	loadLag        = 200 * time.Millisecond
	loadTime       = 300 * time.Millisecond
	serviceTime    = 20 * time.Millisecond
	storeByteRate  = 4 << 20
	tokenPeriod    = 10 * time.Millisecond
)

// A platform is the stand-ins of the platform's services, each on its own port.
type platform struct {
	client   *http.Client
	clock    gooseberrypass.Clock
	engines  []*emulator.Engine
	list     *emulator.InstanceList
	listURL  string
	log      *emulator.Log
	logURL   string
	origin   *emulator.Origin
	origURL  string
	servers  []*emulator.Server
	services []*emulator.PlainService
	store    *emulator.WeightStore
	storURL  string
	versions map[string]*gooseberrypass.Manifest
}

func newPlatform(clock gooseberrypass.Clock) *platform {
	return &platform{
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}},
		clock:    clock,
		list:     emulator.NewInstanceList(clock, listLag),
		log:      emulator.NewLog(clock, emulator.LogSettings{AppendRate: appendRate}),
		origin:   emulator.NewOrigin(clock, 0),
		store:    emulator.NewWeightStore(clock, emulator.WeightStoreSettings{ByteRate: storeByteRate}),
		versions: map[string]*gooseberrypass.Manifest{},
	}
}

// start serves the stand-ins on free ports of the loopback interface.
func (p *platform) start() error {
	for _, s := range []struct {
		handler http.Handler
		url     *string
	}{
		{p.list, &p.listURL},
		{p.log, &p.logURL},
		{p.origin, &p.origURL},
		{p.store, &p.storURL},
	} {
		url, err := p.serve(s.handler)
		if err != nil {
			return err
		}
		*s.url = url
	}
	return nil
}

// serve serves one stand-in and returns its base URL.
func (p *platform) serve(handler http.Handler) (string, error) {
	server, err := emulator.Serve(anyPort, handler)
	if err != nil {
		return "", err
	}
	p.servers = append(p.servers, server)
	return server.URL(), nil
}

// startEngine serves a new engine and returns its base URL.
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

// putVersion puts a version at the origin.
func (p *platform) putVersion(version string, weights []byte) error {
	manifest, err := emulator.MakeManifest(modelName, version, gooseberrypass.Digest{}, weights, chunkSize)
	if err != nil {
		return err
	}
	p.origin.Put(modelName, version, manifest.Encoded(), weights)
	p.versions[version] = manifest
	return nil
}

// newBytes returns the bytes of a version's chunks that are not in another
// version, "" for none.
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

// doubleRuns returns how many calls that may not be repeated ran more than
// once.
func (p *platform) doubleRuns() int {
	runs := map[string]int{}
	for _, s := range p.services {
		for _, r := range s.Runs() {
			if r.Call == callCharge {
				runs[r.Key]++
			}
		}
	}
	double := 0
	for _, n := range runs {
		if n > 1 {
			double++
		}
	}
	return double
}

// startService serves a new plain service and returns its base URL.
func (p *platform) startService() (string, error) {
	s := emulator.NewPlainService(p.clock, serviceTime)
	p.services = append(p.services, s)
	return p.serve(s)
}

// stop ends the stand-ins.
func (p *platform) stop() {
	for _, e := range p.engines {
		_ = e.Close()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.client.CloseIdleConnections()
}
