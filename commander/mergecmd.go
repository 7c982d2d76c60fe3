package commander

import (
	"context"

	"github.com/pkg/errors"
)

// mergeCmd prints the merged configuration of a folder.
type mergeCmd struct {
	Dir string `arg:"" help:"Folder of INI files." type:"path"`
}

// Run checks the folder and prints its merge.
func (c *mergeCmd) Run(ctx context.Context, std streams) error {
	check, err := readChecked(ctx, c.Dir, std.stderr)
	if err != nil {
		return err
	}
	_, err = check.Merge().WriteTo(std.stdout)
	return errors.Wrap(err, "print the merge")
}
