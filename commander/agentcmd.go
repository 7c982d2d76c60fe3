package commander

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// agentCmd runs the process beside an engine or a plain service.
type agentCmd struct {
	settingsFlag
}

// Help returns the text that --help adds to the flags.
func (agentCmd) Help() string {
	return settingsHelp(gooseberrypass.RoleAgent) + `
Example:

  gooseberrypass agent --settings agent.ini`
}

// Run runs the agent until ctx is done.
func (c *agentCmd) Run(ctx context.Context, std streams) error {
	settings, d, err := c.read(gooseberrypass.RoleAgent, std)
	if err != nil {
		return err
	}
	agent, err := runner.NewAgent(ctx, settings, d)
	if err != nil {
		return err
	}
	return agent.Run(ctx)
}
