package commander

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// gatewayCmd runs an entry on a machine that the platform prepares.
type gatewayCmd struct {
	machineFlag
}

// Help returns the text that --help adds to the flags.
func (gatewayCmd) Help() string {
	return machineHelp(gooseberrypass.RoleEntry) + `
Example:

  gooseberrypass gateway --settings gateway.ini`
}

// Run runs the gateway until ctx is done.
func (c *gatewayCmd) Run(ctx context.Context, std streams) error {
	return c.run(ctx, gooseberrypass.RoleEntry, std, func(s *runner.MachineSettings, d runner.Dependencies) (func(context.Context) error, error) {
		g, err := runner.NewGateway(ctx, s, d)
		if err != nil {
			return nil, err
		}
		return g.Run, nil
	})
}
