package commander

import (
	"bytes"
	"context"
	"os"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/burnmeter"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// plotMode is the file mode of a plot.
const plotMode = 0o600

// burnCmd reports the burn rates of the objectives' error budgets.
type burnCmd struct {
	entriesFlags

	Plot string `help:"Also draw the burn rates to a file that ends in .pdf, .png or .svg." placeholder:"FILE" type:"path"`
}

// Help returns the text that --help adds to the flags.
func (burnCmd) Help() string {
	return `Asks every entry for its counts and adds them up. A burn rate of 1 spends an
objective's error budget exactly. Entries that do not answer are named, and make
the exit status 1.

  gooseberrypass burn --list http://10.0.0.1:7002
  gooseberrypass burn --entry 10.0.1.1:7101 --output json --plot burn.svg`
}

// Run queries the entries and prints the report.
func (c *burnCmd) Run(ctx context.Context, std streams) error {
	format := ""
	if c.Plot != "" {
		var err error
		if format, err = burnmeter.PlotFormat(c.Plot); err != nil {
			return &ExitError{Err: err, Status: ExitBadUsage}
		}
	}
	answers, err := queryEntries(ctx, c.entriesFlags, func(ctx context.Context, entry wire.Entry) (*wire.BurnResponse, error) {
		return entry.Burn(ctx, &wire.BurnRequest{})
	})
	if err != nil {
		return err
	}
	report := newBurnReport(answers)
	if err := c.print(report, std); err != nil {
		return err
	}
	if err := c.plot(report, format); err != nil {
		return err
	}
	if len(report.Missing) > 0 {
		return &ExitError{Err: errors.Errorf("%d of %d entries did not answer", len(report.Missing), len(answers)), Status: ExitFailed}
	}
	return nil
}

func newBurnReport(answers []entryAnswer[*wire.BurnResponse]) *burnmeter.Report {
	var counts []*wire.BurnResponse
	var missing []burnmeter.MissingEntry
	for _, a := range answers {
		if a.err != nil {
			missing = append(missing, burnmeter.MissingEntry{Address: a.address, Error: a.err.Error()})
			continue
		}
		counts = append(counts, a.answer)
	}
	return burnmeter.NewReport(counts, missing)
}

func (c *burnCmd) print(report *burnmeter.Report, std streams) error {
	if c.Output == outputJSON {
		return report.WriteJSON(std.stdout)
	}
	return report.WriteTable(std.stdout)
}

func (c *burnCmd) plot(report *burnmeter.Report, format string) error {
	if c.Plot == "" {
		return nil
	}
	var buf bytes.Buffer
	if err := report.WritePlot(&buf, format); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.Plot, buf.Bytes(), plotMode), "write plot")
}
