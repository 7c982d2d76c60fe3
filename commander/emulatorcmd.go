package commander

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// emulatorCmd runs emulators of the platform's services, the stand-ins of its help
// text.
type emulatorCmd struct {
	All     emulatorAllCmd     `cmd:"" help:"Run one of each stand-in."`
	Engine  emulatorEngineCmd  `cmd:"" help:"Run a model engine."`
	List    emulatorListCmd    `cmd:"" help:"Run an instance list."`
	Log     emulatorLogCmd     `cmd:"" help:"Run a log service."`
	Origin  emulatorOriginCmd  `cmd:"" help:"Run an origin of weights."`
	Service emulatorServiceCmd `cmd:"" help:"Run a plain service that records its runs."`
	Store   emulatorStoreCmd   `cmd:"" help:"Run a weight store."`
}

// Help returns the text that --help adds to the flags.
func (emulatorCmd) Help() string {
	return `Each stand-in prints "listening ADDRESS" when it is ready and ends on SIGTERM.
PUT /faults switches its faults; see docs/PLATFORM.md.

  gooseberrypass emulator log --listen 127.0.0.1:7001 --append-rate 300
  gooseberrypass emulator origin --weights jingle-writer/v1=weights.bin
  gooseberrypass emulator engine --fenced --token-period 20ms
  gooseberrypass emulator all --port 7000`
}

// listenFlag is the listen address of an emulator.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"IP number and port to listen on; port 0 is any free one."`
}

// serve prints the address that it listens on to w and serves handler until ctx is
// done.
func (f listenFlag) serve(ctx context.Context, w io.Writer, handler http.Handler) error {
	server, err := emulator.Serve(f.Listen, handler) //nolint:contextcheck // Close ends it
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w, "listening", server.Addr()); err != nil {
		_ = server.Close()
		return errors.Wrap(err, "print the address")
	}
	<-ctx.Done()
	return server.Close()
}

// emulatorEngineCmd runs an emulated model engine.
type emulatorEngineCmd struct {
	listenFlag

	CacheEventLag  time.Duration `default:"200ms" help:"Lag of cache events."`
	CacheEventLoss float64       `default:"0" help:"Share of cache events that are lost."`
	CachePrefixes  int           `default:"64" help:"Prefixes that the cache holds."`
	Capacity       int           `default:"8" help:"Requests that run at once."`
	CrashMark      string        `default:"${crash_mark}" help:"Text in a prompt that crashes the engine."`
	Fenced         bool          `help:"Refuse orders with an old fence."`
	InPlace        bool          `help:"Let a load change the weights under running streams."`
	LoadLag        time.Duration `default:"200ms" help:"Lag of the reported load."`
	LoadTime       time.Duration `default:"0s" help:"Time of a load after its weights are read."`
	QueueLimit     int           `default:"256" help:"Requests that wait."`
	RestartTime    time.Duration `default:"1s" help:"Time from a crash until the engine answers again."`
	Seed           uint64        `default:"1" help:"Seed of the losses of cache events."`
	TokenPeriod    time.Duration `default:"5ms" help:"Time between the tokens of a stream."`
	Unverified     bool          `help:"Load chunks that differ from the manifest."`
}

// Run runs the engine until ctx is done.
func (c *emulatorEngineCmd) Run(ctx context.Context, std streams) error {
	if c.TokenPeriod <= 0 || c.Capacity <= 0 || c.CacheEventLoss < 0 || c.CacheEventLoss > 1 {
		return errors.New("engine: the token period and the capacity must be above 0, the loss between 0 and 1")
	}
	engine := emulator.NewEngine(clockwork.NewRealClock(), &http.Client{}, emulator.EngineSettings{ //nolint:contextcheck // Close ends it
		CacheEventLag:  c.CacheEventLag,
		CacheEventLoss: c.CacheEventLoss,
		CachePrefixes:  c.CachePrefixes,
		Capacity:       c.Capacity,
		CrashMark:      c.CrashMark,
		Fenced:         c.Fenced,
		InPlace:        c.InPlace,
		LoadLag:        c.LoadLag,
		LoadTime:       c.LoadTime,
		QueueLimit:     c.QueueLimit,
		RestartTime:    c.RestartTime,
		Seed:           c.Seed,
		TokenPeriod:    c.TokenPeriod,
		Unverified:     c.Unverified,
	})
	defer func() { _ = engine.Close() }()
	return c.serve(ctx, std.stdout, engine)
}

// emulatorListCmd runs an emulated instance list.
type emulatorListCmd struct {
	listenFlag

	Lag time.Duration `default:"500ms" help:"Lag of the list."`
}

// Run runs the list until ctx is done.
func (c *emulatorListCmd) Run(ctx context.Context, std streams) error {
	return c.serve(ctx, std.stdout, emulator.NewInstanceList(clockwork.NewRealClock(), c.Lag))
}

// emulatorLogCmd runs an emulated log.
type emulatorLogCmd struct {
	listenFlag

	AppendRate float64       `default:"300" help:"Appends a second, 0 for no limit."`
	MaxAge     time.Duration `default:"24h" help:"Time that records are kept, 0 for ever."`
	MaxRecords int           `default:"1000000" help:"Records kept in each stream, 0 for no limit."`
}

// Run runs the log until ctx is done.
func (c *emulatorLogCmd) Run(ctx context.Context, std streams) error {
	return c.serve(ctx, std.stdout, emulator.NewLog(clockwork.NewRealClock(), emulator.LogSettings{
		AppendRate: c.AppendRate,
		MaxAge:     c.MaxAge,
		MaxRecords: c.MaxRecords,
	}))
}

// emulatorOriginCmd runs an emulated origin of weights.
type emulatorOriginCmd struct {
	listenFlag

	ByteRate  int64             `default:"0" help:"Bytes a second of the origin's link, 0 for no limit."`
	ChunkSize int               `default:"1048576" help:"Bytes of a chunk."`
	Weights   map[string]string `help:"Versions to offer, as MODEL/VERSION=FILE."`
}

// Run runs the origin until ctx is done.
func (c *emulatorOriginCmd) Run(ctx context.Context, std streams) error {
	if c.ChunkSize <= 0 {
		return errors.New("origin: the chunk size must be above 0")
	}
	origin := emulator.NewOrigin(clockwork.NewRealClock(), c.ByteRate)
	for name, file := range c.Weights {
		if err := c.addVersion(origin, name, file); err != nil {
			return err
		}
	}
	return c.serve(ctx, std.stdout, origin)
}

// addVersion offers the weights of a file as a version; name is MODEL/VERSION.
func (c *emulatorOriginCmd) addVersion(origin *emulator.Origin, name, file string) error {
	model, version, ok := cutLast(name, "/")
	if !ok {
		return errors.Errorf("--weights %s=%s: want MODEL/VERSION=FILE", name, file)
	}
	weights, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return errors.Wrapf(err, "--weights %s", name)
	}
	manifest, err := emulator.MakeManifest(model, version, gooseberrypass.Digest{}, weights, c.ChunkSize)
	if err != nil {
		return errors.Wrapf(err, "--weights %s=%s", name, file)
	}
	origin.Put(model, version, manifest.Encoded(), weights)
	return nil
}

// cutLast slices text around the last sep. It reports false if one of the parts would
// be empty.
func cutLast(text, sep string) (before, after string, ok bool) { //nolint:nonamedreturns // as strings.Cut
	i := strings.LastIndex(text, sep)
	if i <= 0 || i+len(sep) == len(text) {
		return text, "", false
	}
	return text[:i], text[i+len(sep):], true
}

// emulatorServiceCmd runs an emulated plain service.
type emulatorServiceCmd struct {
	listenFlag

	Duration time.Duration `default:"0s" help:"Time that a call takes after its effect."`
}

// Run runs the service until ctx is done.
func (c *emulatorServiceCmd) Run(ctx context.Context, std streams) error {
	return c.serve(ctx, std.stdout, emulator.NewPlainService(clockwork.NewRealClock(), c.Duration))
}

// emulatorStoreCmd runs an emulated weight store.
type emulatorStoreCmd struct {
	listenFlag

	ByteRate int64 `default:"0" help:"Bytes a second, 0 for no limit."`
	MaxBytes int64 `default:"1073741824" help:"Bytes held, 0 for no limit."`
}

// Run runs the store until ctx is done.
func (c *emulatorStoreCmd) Run(ctx context.Context, std streams) error {
	return c.serve(ctx, std.stdout, emulator.NewWeightStore(clockwork.NewRealClock(), emulator.WeightStoreSettings{
		ByteRate: c.ByteRate,
		MaxBytes: c.MaxBytes,
	}))
}

// emulatorAllCmd runs one emulator of each kind, on consecutive ports.
type emulatorAllCmd struct {
	IP   string `default:"127.0.0.1" help:"IP number to listen on."`
	Port uint16 `default:"0" help:"Port of the log; the others follow. 0 is any free ones."`
}

// Run runs the emulators until ctx is done.
func (c *emulatorAllCmd) Run(ctx context.Context, std streams) error {
	clock := clockwork.NewRealClock()
	engine := emulator.NewEngine(clock, &http.Client{}, emulator.EngineSettings{}) //nolint:contextcheck // Close ends it
	defer func() { _ = engine.Close() }()
	for i, e := range []struct {
		name    string
		handler http.Handler
	}{
		{"log", emulator.NewLog(clock, emulator.LogSettings{})},
		{"origin", emulator.NewOrigin(clock, 0)},
		{"store", emulator.NewWeightStore(clock, emulator.WeightStoreSettings{})},
		{"list", emulator.NewInstanceList(clock, 0)},
		{"engine", engine},
		{"service", emulator.NewPlainService(clock, 0)},
	} {
		server, err := emulator.Serve(c.addr(i), e.handler) //nolint:contextcheck // Close ends it
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
		if _, err := fmt.Fprintln(std.stdout, e.name, "listening", server.Addr()); err != nil {
			return errors.Wrap(err, "print the address")
		}
	}
	<-ctx.Done()
	return nil
}

// addr returns the listen address of the i-th emulator.
func (c *emulatorAllCmd) addr(i int) string {
	port := int(c.Port)
	if port != 0 {
		port += i
	}
	return net.JoinHostPort(c.IP, strconv.Itoa(port))
}
