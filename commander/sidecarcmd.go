package commander

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// sidecarCmd runs an agent on a machine that the platform prepares.
type sidecarCmd struct {
	machineFlag
}

// Help returns the text that --help adds to the flags.
func (sidecarCmd) Help() string {
	return machineHelp(gooseberrypass.RoleAgent) + `
Example:

  gooseberrypass sidecar --settings sidecar.ini`
}

// Run runs the sidecar until ctx is done.
func (c *sidecarCmd) Run(ctx context.Context, std streams) error {
	return c.run(ctx, gooseberrypass.RoleAgent, std, func(s *runner.MachineSettings, d runner.Dependencies) (func(context.Context) error, error) {
		agent, err := runner.NewSidecar(ctx, s, d)
		if err != nil {
			return nil, err
		}
		return agent.Run, nil
	})
}
