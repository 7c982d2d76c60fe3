package tracker_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A costlyList counts its polls. Every changeEvery polls it has changed, which
// costs what a long list takes.
type costlyList struct {
	bytes       int64 // of all answers but the last, whose pause has not passed
	changeEvery int
	listing     gooseberrypass.Listing
	polls       int
}

func (l *costlyList) List(context.Context) (gooseberrypass.Listing, error) {
	l.polls++
	l.bytes += l.listing.Cost
	l.listing.Revision = uint64(1 + l.polls/l.changeEvery)
	l.listing.Cost = 512
	if l.polls%l.changeEvery == 0 {
		l.listing.Cost = 512 << 10
	}
	return l.listing, nil
}

func TestListIsPolledWithinItsBudget(t *testing.T) {
	const (
		budget = 2 << 10 // bytes a second
		hour   = 3600    // seconds
	)
	tests := []struct {
		name        string
		changeEvery int
		least       int // polls in an hour
	}{
		{name: "hardly changes", changeEvery: 10000, least: 3000},
		{name: "changes at every poll", changeEvery: 1, least: 12},
		{name: "changes every 171 polls", changeEvery: 171, least: 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			list := &costlyList{changeEvery: tt.changeEvery, listing: capacityListing(100)}
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			none := func([]gooseberrypass.ListedInstance) []gooseberrypass.ID { return nil }
			tr, err := tracker.New(clock, list, func(string) wire.Agent { return nil }, none, prometheus.NewRegistry(), logger)
			if err != nil {
				t.Fatal(err)
			}
			now := clock.Now()
			for range 10 * hour {
				now = now.Add(100 * time.Millisecond)
				for _, e := range tr.Handle(now, gooseberrypass.Tick{}) {
					if event := e.Run(t.Context()); event != nil {
						tr.Handle(now, event)
					}
				}
			}
			if got := list.bytes / hour; got > budget {
				t.Errorf("got %d bytes a second, want at most %d", got, budget)
			}
			if list.polls < tt.least {
				t.Errorf("got %d polls in an hour, want at least %d", list.polls, tt.least)
			}
		})
	}
}
