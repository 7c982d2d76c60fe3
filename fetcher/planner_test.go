package fetcher_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/ranker"
)

// newPlanner returns the planner of one of two instances, the ID of the other, and
// the manifest of a version with one chunk. The planner's instance holds the manifest
// and ranks first for the chunk if isFirst is set, else second.
func newPlanner(t *testing.T, isFirst, store bool) (*fetcher.Planner, gooseberrypass.ID, *gooseberrypass.Manifest) {
	t.Helper()
	m := newLinkModel(1, 2, "centro")
	r := ranker.New(m.allInstances(0), "centro", 2)
	chunk := m.manifest.Chunk(0).Digest
	self, other := m.order[0], m.order[1]
	if isFirst != (r.Hop(self.listed.ID, 0, chunk, nil).Parent == nil) {
		self, other = other, self
	}
	self.held[m.manifest.Digest()] = m.manifest.Encoded()
	p := fetcher.NewPlanner(self.listed.ID, self, store, 1, fetcher.Settings{})
	p.SetRanking(r)
	p.SetOriginCopies(4)
	p.SetWants([]fetcher.Want{{Digest: m.manifest.Digest()}})
	return p, other.listed.ID, m.manifest
}

// next calls Plan until a fetch starts, finishes the fetch with result and returns
// it.
func next(t *testing.T, p *fetcher.Planner, now *time.Time, result fetcher.Result) fetcher.Fetch {
	t.Helper()
	for range 20 * 60 * 10 { // 20 minutes in steps of 100 ms
		starts, _ := p.Plan(*now)
		if len(starts) > 0 {
			p.Finish(*now, fetcher.Outcome{ID: starts[0].ID, Result: result})
			return starts[0]
		}
		*now = now.Add(100 * time.Millisecond)
	}
	t.Fatal("no fetch was started")
	return fetcher.Fetch{}
}

// TestSourcesAfterFailures checks which kinds of sources are asked after a sequence
// of results. The weight store is asked after the peers, and the origin last.
func TestSourcesAfterFailures(t *testing.T) {
	const instance, store, origin = fetcher.SourceSameRegion, fetcher.SourceStore, fetcher.SourceOrigin
	tests := []struct {
		name    string
		lagging bool // the peer does not know of the version yet
		fails   []fetcher.Result
		want    []fetcher.SourceKind
	}{
		{"dead peer, store", false, []fetcher.Result{fetcher.ResultUnreachable, fetcher.ResultOK}, []fetcher.SourceKind{instance, store}},
		{"dead peer, corrupt store", false, []fetcher.Result{fetcher.ResultUnreachable, fetcher.ResultCorrupt, fetcher.ResultOK}, []fetcher.SourceKind{instance, store, origin}},
		{"corrupt peer, empty store", false, []fetcher.Result{fetcher.ResultCorrupt, fetcher.ResultNotHeld, fetcher.ResultOK}, []fetcher.SourceKind{instance, store, origin}},
		{"peer that learned of the version as it answered", false, []fetcher.Result{fetcher.ResultNotHeld, fetcher.ResultOK}, []fetcher.SourceKind{instance, instance}},
		{"peer that dropped the chunk", false, []fetcher.Result{fetcher.ResultNotHeld, fetcher.ResultNotHeld, fetcher.ResultOK}, []fetcher.SourceKind{instance, instance, store}},
		{"peer that does not know of the version", true, []fetcher.Result{fetcher.ResultNotHeld, fetcher.ResultNotHeld, fetcher.ResultNotHeld, fetcher.ResultOK}, []fetcher.SourceKind{instance, instance, instance, instance}},
		{"busy peer", false, []fetcher.Result{fetcher.ResultBusy, fetcher.ResultBusy, fetcher.ResultBusy, fetcher.ResultOK}, []fetcher.SourceKind{instance, instance, instance, store}},
		{"pending peer", false, []fetcher.Result{fetcher.ResultPending, fetcher.ResultPending, fetcher.ResultOK}, []fetcher.SourceKind{instance, instance, instance}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, peer, m := newPlanner(t, false, true)
			if tt.lagging {
				p.SetPeers(m.Digest(), nil, map[gooseberrypass.ID]struct{}{peer: {}})
			}
			now := time.Unix(1_800_000_000, 0)
			for i, result := range tt.fails {
				if got := next(t, p, &now, result); got.Kind != tt.want[i] {
					t.Fatalf("got try %d from %s, want %s", i, got.Kind, tt.want[i])
				}
			}
			if got := p.Progress(m.Digest()); !got.Complete() {
				t.Errorf("got %+v, want the version complete", got)
			}
		})
	}
}

// Every read from the origin returns corrupt bytes for a day. The budget must bound
// the repeated reads.
func TestOriginBudgetBoundsRepeatedReads(t *testing.T) {
	p, _, m := newPlanner(t, false, false)
	now := time.Unix(1_800_000_000, 0)
	end := now.Add(24 * time.Hour)
	reads := 0
	for now.Before(end) {
		fetch := next(t, p, &now, fetcher.ResultCorrupt)
		if fetch.Kind == fetcher.SourceOrigin {
			reads++
		}
	}
	if reads < 2 || reads > 24*6*2 {
		t.Errorf("got %d reads from the origin in a day, want a few an hour", reads)
	}
	if got := p.Progress(m.Digest()).Err; got != "origin's bytes do not match the pinned digest" {
		t.Errorf("got error %q, want it to name the origin's bytes", got)
	}
}

// The first in rank starts without chunks while another instance holds the complete
// version. It must fetch from that instance before it reads the origin.
func TestSeederIsAskedBeforeOrigin(t *testing.T) {
	p, peer, m := newPlanner(t, true, false)
	now := time.Unix(1_800_000_000, 0)
	p.SetPeers(m.Digest(), map[gooseberrypass.ID]struct{}{peer: {}}, nil)
	for i, want := range []fetcher.SourceKind{fetcher.SourceSameRegion, fetcher.SourceOrigin} {
		if got := next(t, p, &now, fetcher.ResultUnreachable); got.Kind != want {
			t.Errorf("got try %d from %s, want %s", i, got.Kind, want)
		}
	}
	naive, _, _ := newPlanner(t, true, false) // knows of no seeders
	if got := next(t, naive, &now, fetcher.ResultOK); got.Kind != fetcher.SourceOrigin {
		t.Errorf("got a read from %s without seeders, want %s", got.Kind, fetcher.SourceOrigin)
	}
}
