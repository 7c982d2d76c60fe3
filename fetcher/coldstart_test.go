package fetcher_test

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/parser"
)

// A configuration may arrive before the list of instances. An instance that
// fetched without the list would take itself for the only one, and so would every
// other instance.
func TestFetcherAwaitsListOfInstances(t *testing.T) {
	self := gooseberrypass.ListedInstance{
		ID: "i1", Pool: "gpu", Region: "centro", Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive,
	}
	config := checker.Build(parser.NewFolder("", nil), 1).Config()
	want := fetcher.Want{Digest: gooseberrypass.DigestOf([]byte("manifest")), OriginName: "m", Version: "1"}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name  string
		after time.Duration
		event gooseberrypass.Event
		want  bool
	}{
		{name: "no list", event: gooseberrypass.Tick{}, after: time.Second, want: false},
		{name: "list without this instance", event: gooseberrypass.MembersChanged{}, after: time.Second, want: false},
		{name: "list", event: gooseberrypass.MembersChanged{Members: []gooseberrypass.Member{{Listed: self}}}, after: time.Second, want: true},
		{name: "no list until the timeout", event: gooseberrypass.Tick{}, after: time.Minute, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := cacher.New(1 << 20)
			f, err := fetcher.New(self, c, fetcher.NewReader(nil, nil, c, nil, nil), 1, fetcher.Settings{}, prometheus.NewRegistry(), logrus.New())
			if err != nil {
				t.Fatal(err)
			}
			f.Handle(start, gooseberrypass.ConfigAccepted{Config: config})
			if effects := f.SetWants(start, []fetcher.Want{want}); len(effects) > 0 {
				t.Errorf("got %d fetches before any list, want none", len(effects))
			}
			got := false
			for _, e := range f.Handle(start.Add(tt.after), tt.event) {
				got = got || e.EffectName() == "fetch"
			}
			if got != tt.want {
				t.Errorf("got a fetch: %t, want %t", got, tt.want)
			}
		})
	}
}
