package demonstrator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// A rollout holds the measurements of one rollout. Times count from the start of
// the publication.
type rollout struct {
	configTime  time.Duration  // until the configuration was in force in all live processes
	heldTime    time.Duration  // until all live engine agents held every chunk
	links       linkByteCounts // traffic during the rollout
	newBytes    int64          // size of the chunks that the previous version lacked
	originBytes int64          // weights read from the origin
	servedTime  time.Duration  // until configTime had passed and all live engines served the version
	version     string
}

// idealTime returns the time to send the new bytes once over one instance's link.
func (r rollout) idealTime() time.Duration {
	return time.Duration(float64(r.newBytes) / idealLinkRate * float64(time.Second))
}

// originCopies returns the bytes read from the origin in multiples of the new
// bytes.
func (r rollout) originCopies() float64 { return copies(r.originBytes, r.newBytes) }

// linkCopies returns the bytes on the busiest link in multiples of the new bytes.
func (r rollout) linkCopies() float64 { return copies(r.links.maxBytes(), r.newBytes) }

// copies returns n in multiples of size, or 0 if size is 0.
func copies(n, size int64) float64 {
	if size == 0 {
		return 0
	}
	return float64(n) / float64(size)
}

// A Result holds the measurements of a demo.
type Result struct {
	duplicateRuns int
	rollouts      []rollout
	traffic       outcomeCounts
}

// Passed reports whether every response was complete and of a single version, and no
// unrepeatable call ran twice.
func (r Result) Passed() bool {
	return r.duplicateRuns == 0 && r.traffic.mixed == 0 && r.traffic.invalid == 0
}

// Write writes a table of the rollouts, the number of failed requests by reason,
// and a last line of key=value pairs.
func (r Result) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "version\tserved by all, s\theld by all, s\tideal, s\torigin copies\tmost on a link\tconfig, s\t")
	for _, o := range r.rollouts {
		_, _ = fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			o.version, o.servedTime.Seconds(), o.heldTime.Seconds(), o.idealTime().Seconds(), o.originCopies(), o.linkCopies(), o.configTime.Seconds())
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write result table")
	}
	for _, reason := range slices.Sorted(maps.Keys(r.traffic.reasons)) {
		if _, err := fmt.Fprintf(w, "%d requests %s\n", r.traffic.reasons[reason], reason); err != nil {
			return errors.Wrap(err, "write failure reasons")
		}
	}
	return r.writeLine(w)
}

// writeLine writes the line of key=value pairs, with the highest values of all
// rollouts.
func (r Result) writeLine(w io.Writer) error {
	var worst rollout
	var config time.Duration
	var origin, link float64
	for _, o := range r.rollouts {
		if o.servedTime > worst.servedTime {
			worst = o
		}
		config = max(config, o.configTime)
		origin = max(origin, o.originCopies())
		link = max(link, o.linkCopies())
	}
	t := r.traffic
	_, err := fmt.Fprintf(w, "time_to_n_s=%.2f ideal_s=%.2f origin_copies=%.2f max_link_copies=%.2f "+
		"requests=%d answered=%d not_run=%d unknown=%d failed=%d mixed=%d double_runs=%d config_s=%.2f\n",
		worst.servedTime.Seconds(), worst.idealTime().Seconds(), origin, link,
		t.requests, t.answered, t.notRun, t.unknown, t.failed, t.mixed+t.invalid, r.duplicateRuns, config.Seconds())
	return errors.Wrap(err, "write result line")
}
