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

// A rollout is what was measured of bringing one version to all engines.
type rollout struct {
	bytes   int64 // of the version that were new
	config  time.Duration
	links   links
	origin  int64
	took    time.Duration
	version string
	whole   time.Duration // until every chunk was on every instance
}

// ideal is the time that the new bytes take on one instance's link.
func (r rollout) ideal() time.Duration {
	return time.Duration(float64(r.bytes) / linkRate * float64(time.Second))
}

func (r rollout) originCopies() float64 { return copies(r.origin, r.bytes) }

func (r rollout) linkCopies() float64 { return copies(r.links.most(), r.bytes) }

func copies(n, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(n) / float64(whole)
}

// A Result is what a demo measured.
type Result struct {
	doubleRuns int
	rollouts   []rollout
	traffic    tally
}

// Good reports whether all promises were kept: no answer mixed or cut short
// and no call run twice.
func (r Result) Good() bool {
	return r.doubleRuns == 0 && r.traffic.mixed == 0 && r.traffic.broken == 0
}

// Write writes a table, and then one line of key=value pairs.
func (r Result) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "version\tserved by all, s\theld by all, s\tideal, s\torigin copies\tmost on a link\tconfig, s\t")
	for _, o := range r.rollouts {
		_, _ = fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			o.version, o.took.Seconds(), o.whole.Seconds(), o.ideal().Seconds(), o.originCopies(), o.linkCopies(), o.config.Seconds())
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print the table")
	}
	for _, reason := range slices.Sorted(maps.Keys(r.traffic.reasons)) {
		if _, err := fmt.Fprintf(w, "%d requests %s\n", r.traffic.reasons[reason], reason); err != nil {
			return errors.Wrap(err, "print the reasons")
		}
	}
	return r.writeLine(w)
}

func (r Result) writeLine(w io.Writer) error {
	var worst rollout
	var config time.Duration
	var origin, link float64
	for _, o := range r.rollouts {
		if o.took > worst.took {
			worst = o
		}
		config = max(config, o.config)
		origin = max(origin, o.originCopies())
		link = max(link, o.linkCopies())
	}
	t := r.traffic
	_, err := fmt.Fprintf(w, "time_to_n_s=%.2f ideal_s=%.2f origin_copies=%.2f max_link_copies=%.2f "+
		"requests=%d answered=%d not_run=%d unknown=%d failed=%d mixed=%d double_runs=%d config_s=%.2f\n",
		worst.took.Seconds(), worst.ideal().Seconds(), origin, link,
		t.requests, t.answered, t.notRun, t.unknown, t.failed, t.mixed+t.broken, r.doubleRuns, config.Seconds())
	return errors.Wrap(err, "print the result")
}
