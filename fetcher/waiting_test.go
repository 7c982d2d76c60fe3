package fetcher_test

import (
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/ranker"
)

// oneChunkVersion returns the manifest and the chunk of a version.
func oneChunkVersion(t *testing.T, number int) (*gooseberrypass.Manifest, []byte) {
	t.Helper()
	body := []byte(strconv.Itoa(number) + " weights of 4 KiB")
	body = append(body, make([]byte, 4<<10-len(body))...)
	m, err := gooseberrypass.NewManifest("m", strconv.Itoa(number), gooseberrypass.Digest{}, []gooseberrypass.Chunk{
		{Digest: gooseberrypass.DigestOf(body), Size: int64(len(body))},
	})
	if err != nil {
		t.Fatal(err)
	}
	return m, body
}

// A version that waits for chunk memory looked like one whose sources are slow.
func TestVersionThatWaitsForMemoryIsReported(t *testing.T) {
	c := cacher.New(6 << 10) // one version
	reg := prometheus.NewRegistry()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f, err := fetcher.New(gooseberrypass.ListedInstance{ID: "self"}, c, fetcher.NewReader(nil, nil, c, nil, nil), 1, fetcher.Settings{}, reg, log)
	if err != nil {
		t.Fatal(err)
	}
	wants := make([]fetcher.Want, 0, 2)
	for _, number := range []int{1, 2} {
		m, _ := oneChunkVersion(t, number)
		if err := c.Put(m.Digest(), m.Encoded()); err != nil {
			t.Fatal(err)
		}
		wants = append(wants, fetcher.Want{Digest: m.Digest(), OriginName: "m", Version: m.Version()})
	}
	for i, want := range []bool{true, false} {
		f.SetWants(time.Unix(1_800_000_000, 0), wants[i:])
		p := f.Progress(wants[1].Digest)
		if p.Waiting != want || p.Err != "" {
			t.Errorf("got waiting %v and error %q for the second version beside %d more urgent ones, want waiting %v and no error", p.Waiting, p.Err, 1-i, want)
		}
		if got := gauge(t, reg, "gooseberrypass_versions_waiting_for_memory"); got != float64(1-i) {
			t.Errorf("got %v waiting versions in the metric, want %d", got, 1-i)
		}
	}
}

func gauge(t *testing.T, reg *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("metric %s is missing", name)
	return 0
}

// A version that got chunk memory by a higher limit counted as complete with chunks that had
// been evicted while it waited.
func TestVersionIsFetchedAnewAfterItWaitedForMemory(t *testing.T) {
	c := cacher.New(6 << 10) // one version
	p := fetcher.NewPlanner("self", c, false, 1, fetcher.Settings{})
	p.SetRanking(ranker.New([]gooseberrypass.ListedInstance{{ID: "self"}}, "", 2))
	first, firstBody := oneChunkVersion(t, 1)
	second, secondBody := oneChunkVersion(t, 2)
	for _, body := range [][]byte{first.Encoded(), second.Encoded(), secondBody} {
		if err := c.Put(gooseberrypass.DigestOf(body), body); err != nil {
			t.Fatal(err)
		}
	}
	p.SetWants([]fetcher.Want{{Digest: first.Digest()}, {Digest: second.Digest()}})
	pins, _ := p.Pins()
	c.Pin(pins)
	if err := c.Put(gooseberrypass.DigestOf(firstBody), firstBody); err != nil {
		t.Fatal(err)
	}
	c.SetLimit(16 << 10)
	p.Activate()
	if c.Has(second.Chunk(0).Digest) {
		t.Fatal("the chunk of the waiting version was not evicted")
	}
	if got := p.Progress(second.Digest()); got.Complete() || got.Waiting {
		t.Errorf("got %+v, want a version that is fetched and lacks its chunk", got)
	}
	now := time.Unix(1_800_000_000, 0)
	want := second.Chunk(0).Digest
	starts, _ := p.Plan(now)
	for _, s := range starts {
		if s.Item.Digest == want {
			return
		}
	}
	t.Errorf("got fetches %v, want one of chunk %s", starts, want)
}
