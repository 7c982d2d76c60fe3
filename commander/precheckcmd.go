package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/prechecker"
)

// precheckCmd checks a configuration of the prepared machines before it is sent.
type precheckCmd struct {
	Against string            `help:"File with the configuration in force; prints the differences from it." placeholder:"FILE"`
	File    string            `arg:"" help:"File with the configuration, the value of the operator's record \"config\"."`
	Regions map[string]string `help:"Region of each failure domain, as the setting regions of a gateway. Without it, regions are compared with those of client accounts only." mapsep:"," placeholder:"DOMAIN=REGION,..."`
}

// Help returns the text that --help adds to the flags.
func (precheckCmd) Help() string {
	return `Reads a configuration in the platform's format and prints every finding to standard error:
errors, entries that can never match, limits that contradict each other. With --against the
differences from the version in force go to standard output. The exit status is 1 if there
are findings; differences are none. Keys of client accounts are named by their positions.

  gooseberrypass precheck config.json
  gooseberrypass precheck config.json --against inforce.json --regions a=north,b=south`
}

// Run checks the file and prints the findings and differences.
func (c *precheckCmd) Run(std streams) error {
	draft, failed, err := readDraft(c.File, std.stderr)
	if err != nil {
		return err
	}
	if draft != nil {
		failed, err = c.check(draft, failed, std)
	}
	if err == nil && failed {
		err = &ExitError{Status: ExitFailed}
	}
	return err
}

// check prints the findings of a draft that could be decoded, and reports whether any were found.
func (c *precheckCmd) check(draft *gooseberrypass.Draft, failed bool, std streams) (bool, error) {
	var domains map[gooseberrypass.FailureDomain]gooseberrypass.Region
	if len(c.Regions) > 0 {
		domains = map[gooseberrypass.FailureDomain]gooseberrypass.Region{}
		for domain, region := range c.Regions {
			domains[gooseberrypass.FailureDomain(domain)] = gooseberrypass.Region(region)
		}
	}
	findings := prechecker.Check(draft, domains)
	if c.Against != "" {
		inForce, faulty, err := readDraft(c.Against, std.stderr)
		if err != nil {
			return true, err
		}
		failed = failed || faulty
		if inForce != nil {
			findings = append(findings, prechecker.Compare(draft, inForce)...)
		}
	}
	for _, f := range findings {
		w := std.stderr
		if f.Kind == gooseberrypass.DraftDifference {
			w = std.stdout
		} else {
			failed = true
		}
		if err := printDraftFinding(w, c.File, f); err != nil {
			return true, err
		}
	}
	return failed, nil
}

// readDraft reads a configuration and prints what its decoding finds. It reports whether it
// found anything. The draft is nil if the file holds no JSON object.
func readDraft(path string, stderr io.Writer) (*gooseberrypass.Draft, bool, error) {
	value, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, true, &ExitError{Err: errors.Wrap(err, "read the configuration"), Status: ExitBadUsage}
	}
	draft, findings, err := platform.Decoder{}.Draft(value)
	if err != nil {
		_, err = fmt.Fprintf(stderr, "%s: error: %v\n", path, err)
		return nil, true, errors.Wrap(err, printFailed)
	}
	gooseberrypass.SortDraftFindings(findings)
	for _, f := range findings {
		if err := printDraftFinding(stderr, path, f); err != nil {
			return nil, true, err
		}
	}
	return draft, len(findings) > 0, nil
}

const printFailed = "print findings"

// printDraftFinding prints a finding as "FILE: KIND: PLACE: MESSAGE".
func printDraftFinding(w io.Writer, path string, f gooseberrypass.DraftFinding) error {
	place := platform.Decoder{}.PlaceText(f.Place)
	if place != "" {
		place += ": "
	}
	_, err := fmt.Fprintf(w, "%s: %s: %s%s\n", path, f.Kind, place, f.Message)
	return errors.Wrap(err, printFailed)
}
