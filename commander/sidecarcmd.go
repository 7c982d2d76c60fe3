package commander

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// A sidecarCmd runs an agent on a prepared machine.
type sidecarCmd struct {
	machineFlag
}

// Help returns what --help shows besides the flags.
func (sidecarCmd) Help() string {
	return machineHelp(gooseberrypass.RoleAgent) + `
Example:

  gooseberrypass sidecar --settings sidecar.ini`
}

// Run runs the sidecar until the process is told to stop.
func (c *sidecarCmd) Run(ctx context.Context, std streams) error {
	return c.run(ctx, gooseberrypass.RoleAgent, std, func(s *runner.MachineSettings, d runner.Dependencies) (func(context.Context) error, error) {
		agent, err := runner.NewSidecar(ctx, s, d)
		if err != nil {
			return nil, err
		}
		return agent.Run, nil
	})
}
