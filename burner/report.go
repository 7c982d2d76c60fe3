package burner

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

// A Missing is an entry whose counts a report lacks.
type Missing struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// A Window is what a report says of one objective over one window.
type Window struct {
	Bad      uint64  `json:"bad"`
	BurnRate float64 `json:"burn_rate"`
	Seconds  int64   `json:"window_seconds"`
	Total    uint64  `json:"total"`
}

// An Objective is what a report says of one objective.
type Objective struct {
	Name    string   `json:"objective"`
	Share   float64  `json:"share"`
	Windows []Window `json:"windows"`
}

// A Report is the service-level burn seen by all entries that answered. It
// names the entries that did not: their requests are not in the counts.
type Report struct {
	Entries    []string    `json:"entries"`
	Missing    []Missing   `json:"missing"`
	Objectives []Objective `json:"objectives"`
}

// NewReport adds up what the entries counted.
func NewReport(answers []*wire.BurnResponse, missing []Missing) *Report {
	r := &Report{Entries: []string{}, Missing: append([]Missing{}, missing...), Objectives: []Objective{}}
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
		o.rate()
		r.Objectives = append(r.Objectives, *o)
	}
	slices.Sort(r.Entries)
	slices.SortFunc(r.Objectives, func(a, b Objective) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

// add counts in what one entry saw. Entries may hold different configurations
// for a moment; the strictest share counts.
func (o *Objective) add(seen *wire.BurnObjective) {
	o.Share = max(o.Share, seen.GetShare())
	for _, w := range seen.GetWindows() {
		i := slices.IndexFunc(o.Windows, func(known Window) bool { return known.Seconds == w.GetWindowSeconds() })
		if i < 0 {
			i = len(o.Windows)
			o.Windows = append(o.Windows, Window{Seconds: w.GetWindowSeconds()})
		}
		o.Windows[i].Bad += w.GetBad()
		o.Windows[i].Total += w.GetTotal()
	}
}

func (o *Objective) rate() {
	slices.SortFunc(o.Windows, func(a, b Window) int { return cmp.Compare(a.Seconds, b.Seconds) })
	for i, w := range o.Windows {
		o.Windows[i].BurnRate = Count{Bad: w.Bad, Total: w.Total}.BurnRate(o.Share)
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}

// WriteTable writes the report as a table, the entries that are missing last.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "OBJECTIVE\tSHARE\tWINDOW\tREQUESTS\tBAD\tBURN RATE")
	for _, o := range r.Objectives {
		for _, window := range o.Windows {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%.2f\n", o.Name, formatShare(o.Share), window.length(), window.Total, window.Bad, window.BurnRate)
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

// length returns the window as people write it.
func (w Window) length() string {
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
