package burnmeter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A MissingEntry describes an entry whose counts are not in a report, and the error that
// it gave.
type MissingEntry struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// A Window holds the counts and the burn rate of an objective over one window.
type Window struct {
	Bad      uint64  `json:"bad"`
	BurnRate float64 `json:"burn_rate"`
	Seconds  int64   `json:"window_seconds"`
	Total    uint64  `json:"total"`
}

// An Objective holds the results of one objective. Share is the required share of
// good requests.
type Objective struct {
	Name    string   `json:"objective"`
	Share   float64  `json:"share"`
	Windows []Window `json:"windows"`
}

// A Report holds the service-level results of all entries that responded. Missing
// lists those that did not: their requests are not in the counts.
type Report struct {
	Entries    []string       `json:"entries"`
	Missing    []MissingEntry `json:"missing"`
	Objectives []Objective    `json:"objectives"`
}

// NewReport sums the counts of the entries and computes the burn rates.
func NewReport(answers []*wire.BurnResponse, missing []MissingEntry) *Report {
	r := &Report{Entries: []string{}, Missing: append([]MissingEntry{}, missing...), Objectives: []Objective{}}
	sums := map[string]*Objective{}
	for _, answer := range answers {
		r.Entries = append(r.Entries, answer.GetEntry())
		for _, o := range answer.GetObjectives() {
			sum, ok := sums[o.GetObjective()]
			if !ok {
				sum = &Objective{Name: o.GetObjective(), Share: o.GetShare()}
				sums[o.GetObjective()] = sum
			}
			sum.add(o)
		}
	}
	for _, o := range sums {
		o.computeBurnRates()
		r.Objectives = append(r.Objectives, *o)
	}
	slices.Sort(r.Entries)
	slices.SortFunc(r.Objectives, func(a, b Objective) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

// add adds the counts of one entry. Entries may have different configurations for a
// short time, so the strictest share is kept.
func (o *Objective) add(counts *wire.BurnObjective) {
	o.Share = max(o.Share, counts.GetShare())
	for _, w := range counts.GetWindows() {
		i := slices.IndexFunc(o.Windows, func(known Window) bool { return known.Seconds == w.GetWindowSeconds() })
		if i < 0 {
			i = len(o.Windows)
			o.Windows = append(o.Windows, Window{Seconds: w.GetWindowSeconds()})
		}
		o.Windows[i].Bad += w.GetBad()
		o.Windows[i].Total += w.GetTotal()
	}
}

// computeBurnRates sorts the windows by length and sets their burn rates.
func (o *Objective) computeBurnRates() {
	slices.SortFunc(o.Windows, func(a, b Window) int { return cmp.Compare(a.Seconds, b.Seconds) })
	for i, w := range o.Windows {
		o.Windows[i].BurnRate = Counts{Bad: w.Bad, Total: w.Total}.BurnRate(o.Share)
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}

// WriteTable writes the report as a text table, followed by the missing entries.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "OBJECTIVE\tSHARE\tWINDOW\tREQUESTS\tBAD\tBURN RATE")
	for _, o := range r.Objectives {
		for _, window := range o.Windows {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%.2f\n", o.Name, formatShare(o.Share), window.label(), window.Total, window.Bad, window.BurnRate)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	_, err := fmt.Fprintf(w, "%d entries counted, %d missing\n", len(r.Entries), len(r.Missing))
	for _, m := range r.Missing {
		_, err = fmt.Fprintf(w, "missing: %s: %s\n", m.Address, m.Error)
	}
	return errors.Wrap(err, "write report")
}

func formatShare(share float64) string { return strconv.FormatFloat(share, 'f', -1, 64) }

// label returns the length of the window in whole days or hours,
// as 3d or 6h, otherwise in minutes.
func (w Window) label() string {
	d := time.Duration(w.Seconds) * time.Second
	const day = 24 * time.Hour
	switch {
	case d >= day && d%day == 0:
		return fmt.Sprintf("%dd", d/day)
	case d >= time.Hour && d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}
