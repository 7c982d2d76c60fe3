package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/parser"
)

// checkCmd checks a configuration folder.
type checkCmd struct {
	Dir string `arg:"" help:"Folder of INI files." type:"path"`
}

// Run checks the folder and prints its findings.
func (c *checkCmd) Run(ctx context.Context, std streams) error {
	_, err := readChecked(ctx, c.Dir, std.stderr)
	return err
}

// readChecked reads and checks a folder. It prints all findings to stderr and
// returns an error if there are any.
func readChecked(ctx context.Context, dir string, stderr io.Writer) (*checker.Result, error) {
	folder, err := parser.ReadFolder(ctx, clockwork.NewRealClock(), dir)
	if err != nil {
		return nil, folderError(err)
	}
	check := checker.Build(folder, 0)
	if len(check.Findings()) == 0 {
		return check, nil
	}
	return nil, printFindings(check.Findings(), stderr)
}

// printFindings prints findings and returns an *ExitError with ExitFailed.
func printFindings(findings []parser.Finding, stderr io.Writer) error {
	for _, f := range findings {
		if _, err := fmt.Fprintln(stderr, f); err != nil {
			return errors.Wrap(err, "print findings")
		}
	}
	return &ExitError{Status: ExitFailed}
}
