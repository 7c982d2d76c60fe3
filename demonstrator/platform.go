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
	listLag        = 500 * time.Millisecond
	loadLag        = 200 * time.Millisecond
	loadTime       = 300 * time.Millisecond
	serviceTime    = 20 * time.Millisecond
	storeByteRate  = 4 << 20
	tokenPeriod    = 10 * time.Millisecond
)

// A platform is the stand-ins of the platform's services, each on its own port.
type platform struct {
	clock   gooseberrypass.Clock
	list    *emulator.InstanceList
	listURL string
	log     *emulator.Log
	logURL  string
	origin  *emulator.Origin
	origURL string
	servers []*emulator.Server
	service *emulator.PlainService
	store   *emulator.WeightStore
	storURL string
}

func newPlatform(clock gooseberrypass.Clock) *platform {
	return &platform{
		clock:   clock,
		list:    emulator.NewInstanceList(clock, listLag),
		log:     emulator.NewLog(clock, emulator.LogSettings{AppendRate: appendRate}),
		origin:  emulator.NewOrigin(clock, 0),
		service: emulator.NewPlainService(clock, serviceTime),
		store:   emulator.NewWeightStore(clock, emulator.WeightStoreSettings{ByteRate: storeByteRate}),
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
func (p *platform) startEngine(client *http.Client, seed uint64) (*emulator.Engine, string, error) {
	engine := emulator.NewEngine(p.clock, client, emulator.EngineSettings{
		Capacity:    engineCapacity,
		LoadLag:     loadLag,
		LoadTime:    loadTime,
		Seed:        seed,
		TokenPeriod: tokenPeriod,
	})
	url, err := p.serve(engine)
	if err != nil {
		_ = engine.Close()
		return nil, "", err
	}
	return engine, url, nil
}

// putVersion makes a version of size bytes and puts it at the origin.
func (p *platform) putVersion(version string, seed uint64, size int) (*gooseberrypass.Manifest, error) {
	weights := emulator.MakeWeights(seed, size)
	manifest, err := emulator.MakeManifest(modelName, version, gooseberrypass.Digest{}, weights, chunkSize)
	if err != nil {
		return nil, err
	}
	p.origin.Put(modelName, version, manifest.Encoded(), weights)
	return manifest, nil
}

// stop ends the stand-ins.
func (p *platform) stop() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}
