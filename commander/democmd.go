package commander

import (
	"context"
	"io"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass/demonstrator"
)

// The limits of the demo.
const (
	maxDemoInstances = 60
	maxDemoSizeMB    = 1024
)

var errGuaranteeViolated = errors.New("demo: an answer mixed versions or was incomplete, or a call ran twice")

// demoCmd runs a weight rollout under live requests on emulators of the platform.
type demoCmd struct {
	Instances int    `default:"15" help:"Engines, each with its agent, 3 to 60."`
	Seed      uint64 `default:"1" help:"Seed of the weights and of random choices."`
	Size      int    `default:"64" help:"Size of the model in MB, 4 to 1024." name:"size"`
	Verbose   bool   `help:"Log what the processes log."`
}

// Help returns the text that --help adds to the flags.
func (demoCmd) Help() string {
	return `Starts stand-ins of the platform and the processes of the system on loopback,
brings two versions of a model to all engines while requests keep coming, kills an
agent during a rollout, and prints what was measured. The last line consists of
key=value pairs.

  gooseberrypass demo
  gooseberrypass demo --instances 30 --size 128 --seed 7`
}

// Validate checks the flags' ranges.
func (c *demoCmd) Validate() error {
	if c.Instances < 3 || c.Instances > maxDemoInstances {
		return errors.Errorf("--instances is %d, want 3 to %d", c.Instances, maxDemoInstances)
	}
	if c.Size < 4 || c.Size > maxDemoSizeMB {
		return errors.Errorf("--size is %d, want 4 to %d", c.Size, maxDemoSizeMB)
	}
	return nil
}

// Run runs the demo.
func (c *demoCmd) Run(ctx context.Context, std streams) error {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if c.Verbose {
		logger.SetOutput(std.stderr)
	}
	d := demonstrator.New(clockwork.NewRealClock(), logger, std.stderr, demonstrator.Settings{
		Instances: c.Instances,
		Seed:      c.Seed,
		Size:      c.Size << 20,
	})
	result, err := d.Run(ctx)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	if err := result.Write(std.stdout); err != nil {
		return err
	}
	if !result.Passed() {
		return errGuaranteeViolated
	}
	return nil
}
