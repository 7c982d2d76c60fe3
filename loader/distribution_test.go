package loader_test

import (
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
)

func TestDistributionKeepsLinksAndOrigin(t *testing.T) {
	t.Parallel()
	o := &origin{}
	weights := randomWeights(1, 256)
	m := o.publish(t, "jingles", "1", weights, gooseberrypass.Digest{})
	f := &fleet{}
	for i := range 15 {
		// Production time-outs: with shorter ones, a busy machine looks like a fault.
		f.agents = append(f.agents, startAgent(t, setup{id: i, origin: o, region: "centro", settings: &fetcher.Settings{}}))
	}
	f.round()
	f.accept(config(1, model("jingles", "1", m.Digest(), nil)))
	f.until(t, "all serve", allServe(f.agents, "jingles", m.Digest()))

	if got := o.copies(len(weights)); got > 1.1 {
		t.Errorf("got %.2f copies read from the origin, want at most 1.1", got)
	}
	var most float64
	for _, a := range f.agents {
		in := a.sum(t, "gooseberrypass_fetch_bytes_total", "") / float64(len(weights))
		out := a.sum(t, "gooseberrypass_chunk_sent_bytes_total", "") / float64(len(weights))
		most = max(most, in, out)
		for v, got := range a.engine.bytes {
			if want := gooseberrypass.DigestOf(weights); got != want {
				t.Errorf("%s loaded %s for %s, want %s", a.listed.ID, got, v.Digest, want)
			}
		}
	}
	if most > 2.2 {
		t.Errorf("got %.2f copies on a link, want at most 2.2", most)
	}
	t.Logf("origin copies %.3f, most copies on a link %.3f", o.copies(len(weights)), most)
}

// TestInstancesDieOnTheWay stops a fifth of the instances during a distribution,
// among them the one that reads some chunks from the origin.
func TestInstancesDieOnTheWay(t *testing.T) {
	t.Parallel()
	o := &origin{}
	weights := randomWeights(2, 64)
	m := o.publish(t, "jingles", "1", weights, gooseberrypass.Digest{})
	f := &fleet{}
	for i := range 10 {
		f.agents = append(f.agents, startAgent(t, setup{id: i, origin: o, region: []string{"centro", "norte"}[i%2]}))
	}
	f.round()
	f.accept(config(1, model("jingles", "1", m.Digest(), nil)))
	f.until(t, "some chunks", func() bool {
		targets := f.agents[0].weights.Targets()
		return len(targets) == 1 && targets[0].Held > 4
	})
	f.agents[0].stop()
	f.agents[1].stop()
	f.agents = f.agents[2:]
	f.until(t, "all others serve", allServe(f.agents, "jingles", m.Digest()))
	f.wantLoaded(t, weights)
	if got := o.copies(len(weights)); got > 4 {
		t.Errorf("got %.2f origin copies, want at most 4", got)
	}
}
