package commander

import (
	"context"
	"fmt"
)

// A pullCmd writes the accepted files to a folder.
type pullCmd struct {
	platformFlags

	Dir string `arg:"" help:"Folder to write the accepted files to." type:"path"`
}

func (c *pullCmd) Run(ctx context.Context, std streams) error {
	p, err := c.publisher()
	if err != nil {
		return err
	}
	offset, err := p.Pull(ctx, c.Dir)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(std.stdout, "pulled offset=%d\n", offset)
	return err
}
