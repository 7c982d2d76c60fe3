package commander

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// entryCmd runs the process that callers send their requests to.
type entryCmd struct {
	settingsFlag
}

// Help returns the text that --help adds to the flags.
func (entryCmd) Help() string {
	return settingsHelp(gooseberrypass.RoleEntry) + `
Example:

  gooseberrypass entry --settings entry.ini`
}

// Run runs the entry until ctx is done.
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
