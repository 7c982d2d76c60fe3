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

// A costlyList is an instance list that counts its polls. An answer with an
// unchanged list costs 512 B, and one with a changed list 512 KiB, the size of a
// long list.
type costlyList struct {
	bytes        int64 // of all answers but the last, after which the pause is not over
	changePeriod int   // polls between two changes
	listing      gooseberrypass.Listing
	polls        int
}

func (l *costlyList) List(context.Context) (gooseberrypass.Listing, error) {
	l.polls++
	l.bytes += l.listing.TransferBytes
	l.listing.Revision = uint64(1 + l.polls/l.changePeriod)
	l.listing.TransferBytes = 512
	if l.polls%l.changePeriod == 0 {
		l.listing.TransferBytes = 512 << 10
	}
	return l.listing, nil
}

// TestListIsPolledWithinItsBudget checks that polls of the list stay within its
// byte budget, however often it changes, and are still frequent if it changes
// seldom.
func TestListIsPolledWithinItsBudget(t *testing.T) {
	const (
		budget = 2 << 10 // bytes a second
		hour   = 3600    // seconds
	)
	tests := []struct {
		name         string
		changePeriod int
		minPolls     int // polls in an hour
	}{
		{name: "changes every 10000 polls", changePeriod: 10000, minPolls: 3000},
		{name: "changes at every poll", changePeriod: 1, minPolls: 12},
		{name: "changes every 171 polls", changePeriod: 171, minPolls: 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			list := &costlyList{changePeriod: tt.changePeriod, listing: capacityListing(100)}
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
				t.Errorf("got %d B/s, want at most %d", got, budget)
			}
			if list.polls < tt.minPolls {
				t.Errorf("got %d polls in an hour, want at least %d", list.polls, tt.minPolls)
			}
		})
	}
}
