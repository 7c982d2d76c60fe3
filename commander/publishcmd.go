package commander

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/publisher"
)

// publishCmd publishes a configuration folder.
type publishCmd struct {
	platformFlags

	Dir     string `arg:"" help:"Folder of INI files." type:"path"`
	Restore bool   `help:"Make the folder the accepted state of a log that has lost it."`
}

// Run publishes or restores the folder and prints the result.
func (c *publishCmd) Run(ctx context.Context, std streams) error {
	p, err := c.publisher()
	if err != nil {
		return err
	}
	publish := p.Publish
	if c.Restore {
		publish = p.Restore
	}
	result, err := publish(ctx, c.Dir)
	var faulty *publisher.FindingsError
	if errors.As(err, &faulty) {
		return printFindings(faulty.Findings, std.stderr)
	}
	if err != nil {
		return folderError(err)
	}
	return printResult(result, std.stdout)
}

// folderError wraps the error of a folder that cannot be read in an *ExitError with
// ExitBadUsage. It returns other errors as they are.
func folderError(err error) error {
	var unreadable *parser.FolderError
	if errors.As(err, &unreadable) {
		return &ExitError{Err: err, Status: ExitBadUsage}
	}
	return err
}

// writeFolderLines writes a line for each file of the operator's folder that was
// replaced, or kept because the operator changed it meanwhile.
func writeFolderLines(b *strings.Builder, result *publisher.Result) {
	for _, name := range result.Applied {
		fmt.Fprintf(b, "brought in %s, changed by others\n", name)
	}
	for _, name := range result.Kept {
		fmt.Fprintf(b, "left %s as you changed it meanwhile\n", name)
	}
}

func printResult(result *publisher.Result, w io.Writer) error {
	var b strings.Builder
	for _, pin := range result.Pins {
		fmt.Fprintf(&b, "pinned %s version=%s manifest=%s file=%s\n", pin.Model, pin.Version, pin.Digest, pin.File)
	}
	writeFolderLines(&b, result)
	for _, note := range result.Notes {
		fmt.Fprintf(&b, "note: %s\n", note)
	}
	if len(result.Changed) == 0 {
		fmt.Fprintf(&b, "nothing to publish offset=%d\n", result.Offset)
	} else {
		fmt.Fprintf(&b, "published offset=%d files=%s\n", result.Offset, strings.Join(result.Changed, ","))
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "print the result")
}
