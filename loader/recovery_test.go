package loader_test

import (
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/loader"
)

// A failing fetcher fails every version while err is not empty and then holds it
// completely.
type failing struct {
	err      *string
	manifest *gooseberrypass.Manifest
}

func (f failing) Progress(gooseberrypass.Digest) fetcher.Progress {
	p := fetcher.Progress{Err: *f.err, Held: f.manifest.Len(), Manifest: f.manifest, Total: f.manifest.Len()}
	if p.Err != "" {
		p.Held = 0
	}
	return p
}

func (failing) SetWants(time.Time, []fetcher.Want) []gooseberrypass.Effect { return nil }

// TestAllFailTogetherAndRecoverTogether has a version fail on every instance of a
// failure domain, as with wrong bytes at the origin, and become complete on all at
// the same moment. The instances know the status of each other as it was two
// seconds ago and must not leave service together.
func TestAllFailTogetherAndRecoverTogether(t *testing.T) {
	const (
		instances = 3
		lag       = 2 * time.Second
		loadTime  = 3 * time.Second
		recovery  = 40 * time.Second
		step      = 100 * time.Millisecond
	)
	fetchErr := "the origin's bytes have changed"
	m := (&origin{}).publish(t, "jingles", "2", randomWeights(41, 1), gooseberrypass.Digest{})
	cfg := config(2, model("jingles", "2", m.Digest(), nil))
	log := logrus.New()
	log.SetOutput(io.Discard)
	old := gooseberrypass.LoadedVersion{Digest: gooseberrypass.DigestOf([]byte("v1")), Model: "jingles"}
	loaded := gooseberrypass.LoadedVersion{Digest: m.Digest(), Model: "jingles"}

	loaders := make([]*loader.Loader, 0, instances)
	listed := make([]gooseberrypass.ListedInstance, 0, instances)
	orderedAt := make([]time.Time, instances)
	for i := range instances {
		self := gooseberrypass.ListedInstance{
			FailureDomain: "centro", ID: gooseberrypass.ID("i" + strconv.Itoa(i)), Pool: "gpu",
			Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive,
		}
		listed = append(listed, self)
		l := loader.New(self, &loadingEngine{}, failing{err: &fetchErr, manifest: m}, "", nil, log)
		l.Handle(startTime(), gooseberrypass.ConfigAccepted{Config: cfg})
		loaders = append(loaders, l)
	}
	var history [][]gooseberrypass.Member
	most, served := 0, 0
	for at := time.Duration(0); at < 2*recovery; at += step {
		now := startTime().Add(at)
		if at == recovery {
			fetchErr = ""
		}
		members := make([]gooseberrypass.Member, 0, len(loaders))
		out := 0
		served = 0
		for i, l := range loaders {
			status := &gooseberrypass.AgentStatus{EndpointUp: true, Loaded: l.Serving(), Targets: l.Targets()}
			members = append(members, gooseberrypass.Member{Listed: listed[i], Status: status})
			if len(status.Loaded) == 0 {
				out++
			}
			if status.Serves("jingles", m.Digest()) {
				served++
			}
		}
		if at > step {
			most = max(most, out)
		}
		history = append(history, members)
		delayed := history[max(0, len(history)-1-int(lag/step))]
		for i, l := range loaders {
			l.Handle(now, gooseberrypass.MembersChanged{Members: delayed})
			serves := old
			if !orderedAt[i].IsZero() && now.Sub(orderedAt[i]) > loadTime {
				serves = loaded
			}
			for _, effect := range l.Handle(now, observed("1", serves)) {
				orderedAt[i] = now
				l.Handle(now, effect.Run(t.Context()))
			}
		}
	}
	if most != 1 {
		t.Errorf("got %d instances out of service at once, want 1", most)
	}
	if served != instances {
		t.Errorf("got %d instances on the new version in the end, want %d", served, instances)
	}
}
