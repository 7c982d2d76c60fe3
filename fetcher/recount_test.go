package fetcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/ranker"
)

// A chunk that had been stored as the list of versions changed, but whose fetch was not reported
// yet, counted twice. The version looked complete without its last chunk, and never again after
// that had arrived: its agent staged it and did not load it.
func TestChunkThatArrivesAsTheListChangesCountsOnce(t *testing.T) {
	const chunks = 3
	now := clockwork.NewFakeClock().Now()
	for stored := range chunks + 1 { // chunks that are stored before the list changes
		for _, change := range []string{"list", "limit"} {
			t.Run(fmt.Sprintf("%d stored, %s", stored, change), func(t *testing.T) {
				c := cacher.New(1 << 20)
				p := fetcher.NewPlanner("self", c, false, 1, fetcher.Settings{})
				p.SetRanking(ranker.New([]gooseberrypass.ListedInstance{{ID: "self"}}, "", 2))
				list := make([]gooseberrypass.Chunk, 0, chunks)
				bodies := map[gooseberrypass.Digest][]byte{}
				for i := range chunks {
					body := []byte{byte(i)}
					list = append(list, gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf(body), Size: 1})
					bodies[list[i].Digest] = body
				}
				m, err := gooseberrypass.NewManifest("m", "1", gooseberrypass.Digest{}, list)
				if err != nil {
					t.Fatal(err)
				}
				if err := c.Put(m.Digest(), m.Encoded()); err != nil {
					t.Fatal(err)
				}
				wants := []fetcher.Want{{Digest: m.Digest()}}
				p.SetWants(wants)
				pins, _ := p.Pins()
				c.Pin(pins)
				starts, _ := p.Plan(now)
				if len(starts) != chunks {
					t.Fatalf("got %d fetches, want %d", len(starts), chunks)
				}
				store := func(f fetcher.Fetch) {
					if err := c.Put(f.Item.Digest, bodies[f.Item.Digest]); err != nil {
						t.Fatal(err)
					}
				}
				for _, f := range starts[:stored] {
					store(f)
				}
				if change == "list" {
					other, _ := oneChunkVersion(t, 2)
					p.SetWants(append(wants, fetcher.Want{Digest: other.Digest()}))
				} else {
					c.SetLimit(0)
					p.Activate()
					c.SetLimit(1 << 20)
					p.Activate()
				}
				for i, f := range starts {
					store(f)
					p.Finish(now.Add(time.Second), fetcher.Outcome{ID: f.ID, Result: fetcher.ResultOK})
					if got, want := p.Progress(m.Digest()), max(stored, i+1); got.Held != want || got.Complete() != (want == chunks) {
						t.Errorf("got %d chunks held (complete %t) after %d were reported, want %d", got.Held, got.Complete(), i+1, want)
					}
				}
			})
		}
	}
}
