// Package demonstrator runs the main job on one machine in one process, on
// stand-ins of the platform, and measures it.
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

// The fixed parts of the demo.
const (
	anyPort      = "127.0.0.1:0"
	linkRate     = 8 << 20 // bytes a second of one instance's link
	modelName    = "jingle-writer"
	pollPeriod   = 50 * time.Millisecond
	rolloutLimit = 2 * time.Minute
	settleTime   = 2 * time.Second // of requests after a rollout
	sharedPart   = 4               // one part in sharedPart of a version is in the next
)

// Settings vary the demo.
type Settings struct {
	Instances int // engines, each with its agent
	Seed      uint64
	Size      int // bytes of the model
}

// A Demonstrator runs the main job once.
type Demonstrator struct {
	clock    gooseberrypass.Clock
	dir      string // of the operator's folder
	fleet    *fleet
	key      authenticator.Key
	logger   *logrus.Logger
	out      io.Writer
	platform *platform
	result   Result
	serving  string // the version that all engines serve
	settings Settings
	traffic  *traffic
}

// New returns a demonstrator that shows its progress on out.
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

// Run runs the main job and returns what was measured.
func (d *Demonstrator) Run(ctx context.Context) (Result, error) {
	dir, err := os.MkdirTemp("", "gooseberrypass-demo-")
	if err != nil {
		return Result{}, errors.Wrap(err, "make a folder")
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
	d.wait(ctx, settleTime)
	if err := d.rollOut(ctx, "v2", true); err != nil {
		return Result{}, err
	}
	d.wait(ctx, settleTime)
	return d.collect(), nil
}

// start starts the stand-ins, the agents and the entries.
func (d *Demonstrator) start(ctx context.Context) error {
	d.say("starting stand-ins of the platform, %d agents beside engines, %d beside plain services and %d entries in %d regions",
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
	if err := d.awaitMembers(ctx); err != nil {
		return err
	}
	return d.writeFile("10-system.ini", systemFile)
}

// awaitMembers waits until the platform's list has reached all processes.
func (d *Demonstrator) awaitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	for !d.fleet.known() {
		if err := d.pause(ctx); err != nil {
			return errors.Wrap(err, "wait for the list of instances")
		}
	}
	return nil
}

// putVersion puts a version at the origin that shares a part of its chunks
// with the other.
func (d *Demonstrator) putVersion(version string, n int) error {
	shared := d.settings.Size / sharedPart / chunkSize * chunkSize
	weights := append(
		emulator.MakeWeights(d.settings.Seed, shared),
		emulator.MakeWeights(d.settings.Seed+uint64(n)+1, d.settings.Size-shared)...,
	)
	return d.platform.putVersion(version, weights)
}

// rollOut publishes a version and waits until every live engine serves it. In
// the middle of it, it kills an agent if kill says so.
func (d *Demonstrator) rollOut(ctx context.Context, version string, kill bool) error {
	begin := d.clock.Now()
	sent := d.fleet.linkBytes()
	digest, offset, err := d.publish(ctx, version)
	if err != nil {
		return err
	}
	d.say("published %s at offset %d", version, offset)
	r := rollout{bytes: d.platform.newBytes(version, d.serving), version: version}
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	shown := -1
	for {
		now := d.clock.Now()
		if r.config == 0 && d.fleet.inForce(offset) {
			r.config = now.Sub(begin)
		}
		if r.whole == 0 && d.fleet.whole(digest) {
			r.whole = now.Sub(begin)
			d.say("%s: every chunk is on every instance after %.1f s", version, r.whole.Seconds())
		}
		serving, live := d.fleet.serving(digest)
		if serving != shown {
			d.say("%s: %d of %d engines serve it after %.1f s", version, serving, live, now.Sub(begin).Seconds())
			shown = serving
		}
		if kill && serving > 0 {
			d.say("killing agent %s", d.fleet.kill())
			kill = false
		}
		if serving == live && r.config > 0 {
			break
		}
		if err := d.pause(ctx); err != nil {
			return errors.Wrapf(err, "%s serves on %d of %d engines", version, serving, live)
		}
	}
	r.took = d.clock.Since(begin)
	r.links = d.fleet.linkBytes().since(sent)
	r.origin = d.platform.origin.Served(modelName, version)
	d.result.rollouts = append(d.result.rollouts, r)
	d.serving = version
	return nil
}

// publish publishes the folder with a version of the model and returns the
// digest that was pinned and the offset.
func (d *Demonstrator) publish(ctx context.Context, version string) (gooseberrypass.Digest, gooseberrypass.Offset, error) {
	if err := d.writeFile("20-model.ini", fmt.Sprintf(modelFile, version)); err != nil {
		return gooseberrypass.Digest{}, 0, err
	}
	p := publisher.New(d.clock, d.key, connector.NewLog(d.platform.client, d.platform.logURL),
		connector.NewOrigin(d.platform.client, d.platform.origURL))
	result, err := p.Publish(ctx, d.dir)
	if err != nil {
		return gooseberrypass.Digest{}, 0, errors.Wrap(err, "publish")
	}
	if len(result.Pins) != 1 {
		return gooseberrypass.Digest{}, 0, errors.Errorf("publish: %d versions pinned, want 1", len(result.Pins))
	}
	return result.Pins[0].Digest, result.Offset, nil
}

func (d *Demonstrator) collect() Result {
	d.traffic.stop()
	d.result.traffic = d.traffic.tally()
	d.result.doubleRuns = d.platform.doubleRuns()
	return d.result
}

func (d *Demonstrator) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

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

func (d *Demonstrator) writeFile(name, text string) error {
	return errors.Wrap(os.WriteFile(filepath.Join(d.dir, name), []byte(text), 0o600), "write the folder")
}
