// Package demonstrator runs the whole system in one process, on emulators of the
// platform's services. It rolls out two versions of a model while callers send
// requests and an agent is killed, and measures the rollouts and the responses.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
	"github.com/gooseberrypass/gooseberrypass/publisher"
)

// Fixed parameters of the demo.
const (
	loopbackAddress = "127.0.0.1:0"
	idealLinkRate   = 8 << 20 // bytes per second, the bulk-rate in systemConfig
	modelName       = "jingle-writer"
	pollPeriod      = 50 * time.Millisecond
	rolloutLimit    = 2 * time.Minute
	trafficTime     = 2 * time.Second // traffic before and after the second rollout
	sharedDivisor   = 4               // 1/sharedDivisor of each version is common to both
)

// Settings are the parameters of a demo.
type Settings struct {
	Instances int    // number of model engines, each with an agent
	Seed      uint64 // seed of the weights and of random choices
	Size      int    // model size in bytes
}

// A Demonstrator runs the demo once.
type Demonstrator struct {
	clock    gooseberrypass.Clock
	dir      string // directory with the operator's configuration files
	fleet    *fleet
	key      authenticator.Key
	logger   *logrus.Logger
	out      io.Writer
	platform *platform
	result   Result
	serving  string // version that all engines serve, "" before the first rollout
	settings Settings
	traffic  *traffic
}

// New returns a demonstrator that writes its progress to out.
func New(clock gooseberrypass.Clock, logger *logrus.Logger, out io.Writer, settings Settings) *Demonstrator {
	key := authenticator.NewKey(fmt.Sprintf("demo-%d", settings.Seed))
	p := newPlatform(clock)
	return &Demonstrator{
		clock:    clock,
		fleet:    newFleet(clock, key, logger, p),
		key:      key,
		logger:   logger,
		out:      out,
		platform: p,
		settings: settings,
	}
}

// Run runs the demo and returns the measurements.
func (d *Demonstrator) Run(ctx context.Context) (Result, error) {
	dir, err := os.MkdirTemp("", "gooseberrypass-demo-")
	if err != nil {
		return Result{}, errors.Wrap(err, "create temporary directory")
	}
	d.dir = dir
	defer func() { _ = os.RemoveAll(dir) }()
	defer d.platform.stop()
	defer d.fleet.stop()
	if err := d.start(ctx); err != nil {
		return Result{}, err
	}
	if err := d.rollOut(ctx, "v1", false); err != nil {
		return Result{}, err
	}
	d.traffic = newTraffic(d.clock, d.settings.Seed, d.fleet.entryURLs())
	d.traffic.start(ctx)
	defer d.traffic.stop()
	d.wait(ctx, trafficTime)
	if err := d.rollOut(ctx, "v2", true); err != nil {
		return Result{}, err
	}
	d.wait(ctx, trafficTime)
	return d.collect(), nil
}

// start starts the emulators, the agents and the entries, stores both versions at
// the origin, waits until all processes know each other, and writes systemConfig.
func (d *Demonstrator) start(ctx context.Context) error {
	d.printf("starting platform emulators, %d agents with engines, %d agents with plain services and %d entries in %d regions",
		d.settings.Instances, serviceCount, entryCount, len(regions()))
	if err := d.platform.start(); err != nil { //nolint:contextcheck // platform.stop ends it
		return err
	}
	if err := d.fleet.start(ctx, d.settings.Instances, d.settings.Seed); err != nil {
		return err
	}
	for i, version := range []string{"v1", "v2"} {
		if err := d.putVersion(version, i); err != nil {
			return err
		}
	}
	if err := d.waitForMembers(ctx); err != nil {
		return err
	}
	return d.writeFile("10-system.ini", systemConfig)
}

// waitForMembers waits until every process knows all members.
func (d *Demonstrator) waitForMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	for !d.fleet.membersKnown() {
		if err := d.pause(ctx); err != nil {
			return errors.Wrap(err, "wait until every process knows all members")
		}
	}
	return nil
}

// putVersion stores the n-th version at the origin. The first 1/sharedDivisor of
// its weights, rounded down to whole chunks, is common to both versions.
func (d *Demonstrator) putVersion(version string, n int) error {
	shared := d.settings.Size / sharedDivisor / chunkSize * chunkSize
	weights := append(
		emulator.MakeWeights(d.settings.Seed, shared),
		emulator.MakeWeights(d.settings.Seed+uint64(n)+1, d.settings.Size-shared)...,
	)
	return d.platform.putVersion(version, weights)
}

// rollOut publishes a version and waits until every live engine serves it. If
// kill is true, it kills an agent once the first engine serves the version.
func (d *Demonstrator) rollOut(ctx context.Context, version string, kill bool) error {
	start := d.clock.Now()
	sent := d.fleet.linkBytes()
	digest, offset, err := d.publish(ctx, version)
	if err != nil {
		return err
	}
	d.printf("published %s at offset %d", version, offset)
	r := rollout{newBytes: d.platform.newBytes(version, d.serving), version: version}
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	lastServing := -1
	for {
		now := d.clock.Now()
		if r.configTime == 0 && d.fleet.configAccepted(offset) {
			r.configTime = now.Sub(start)
		}
		if r.heldTime == 0 && d.fleet.allHold(digest) {
			r.heldTime = now.Sub(start)
			d.printf("%s: all live engine agents hold every chunk after %.1f s", version, r.heldTime.Seconds())
		}
		serving, live := d.fleet.serving(digest)
		if serving != lastServing {
			d.printf("%s: served by %d of %d engines after %.1f s", version, serving, live, now.Sub(start).Seconds())
			lastServing = serving
		}
		if kill && serving > 0 {
			d.printf("killing agent %s", d.fleet.killAgent())
			kill = false
		}
		if serving == live && r.configTime > 0 {
			break
		}
		if err := d.pause(ctx); err != nil {
			return errors.Wrapf(err, "rollout of %s: served by %d of %d engines", version, serving, live)
		}
	}
	r.servedTime = d.clock.Since(start)
	r.links = d.fleet.linkBytes().since(sent)
	r.originBytes = d.platform.origin.ServedBytes(modelName, version)
	d.result.rollouts = append(d.result.rollouts, r)
	d.serving = version
	return nil
}

// publish publishes the configuration with the given version of the model. It
// returns the digest of the version and the offset of the configuration.
func (d *Demonstrator) publish(ctx context.Context, version string) (gooseberrypass.Digest, gooseberrypass.Offset, error) {
	if err := d.writeFile("20-model.ini", fmt.Sprintf(modelConfigFormat, version)); err != nil {
		return gooseberrypass.Digest{}, 0, err
	}
	p := publisher.New(d.clock, d.key, connector.NewLog(d.platform.client, d.platform.logURL),
		connector.NewOrigin(d.platform.client, d.platform.originURL))
	result, err := p.Publish(ctx, d.dir)
	if err != nil {
		return gooseberrypass.Digest{}, 0, errors.Wrap(err, "publish")
	}
	if len(result.Pins) != 1 {
		return gooseberrypass.Digest{}, 0, errors.Errorf("publish: %d versions pinned, want 1", len(result.Pins))
	}
	return result.Pins[0].Digest, result.Offset, nil
}

// collect stops the traffic and returns the measurements.
func (d *Demonstrator) collect() Result {
	d.traffic.stop()
	d.result.traffic = d.traffic.outcomes()
	d.result.duplicateRuns = d.platform.duplicateRuns()
	return d.result
}

func (d *Demonstrator) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// pause waits for one pollPeriod.
func (d *Demonstrator) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.clock.After(pollPeriod):
		return nil
	}
}

func (d *Demonstrator) wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(duration):
	}
}

// writeFile writes a configuration file of the operator.
func (d *Demonstrator) writeFile(name, text string) error {
	return errors.Wrap(os.WriteFile(filepath.Join(d.dir, name), []byte(text), 0o600), "write configuration file")
}
