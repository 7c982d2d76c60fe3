package commander

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// An entryCmd runs an entry process.
type entryCmd struct {
	settingsFlag
}

// Help returns what --help shows besides the flags.
func (entryCmd) Help() string {
	return settingsHelp(gooseberrypass.RoleEntry) + `
Example:

  gooseberrypass entry --settings entry.ini`
}

// Run runs the entry until the process is told to stop.
func (c *entryCmd) Run(ctx context.Context, std streams) error {
	settings, d, err := c.read(gooseberrypass.RoleEntry, std)
	if err != nil {
		return err
	}
	entry, err := runner.NewEntry(ctx, settings, d)
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}
