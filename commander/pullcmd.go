package commander

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// pullCmd writes the files of the accepted configuration to a folder.
type pullCmd struct {
	platformFlags

	Dir string `arg:"" help:"Folder to write the accepted files to." type:"path"`
}

// Run writes the files and prints the result.
func (c *pullCmd) Run(ctx context.Context, std streams) error {
	p, err := c.publisher()
	if err != nil {
		return err
	}
	result, err := p.Pull(ctx, c.Dir)
	if err != nil {
		return folderError(err)
	}
	var b strings.Builder
	writeFolderLines(&b, result)
	fmt.Fprintf(&b, "pulled offset=%d\n", result.Offset)
	_, err = io.WriteString(std.stdout, b.String())
	return errors.Wrap(err, "print the result")
}
