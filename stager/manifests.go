package stager

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
)

// ManifestPattern is the http.ServeMux pattern of Manifests.
const ManifestPattern = "GET /manifests/{model}/{version}"

// peerTimeout bounds the read of a manifest from another agent. A manifest has a few
// kilobytes, and the latency between agents is a few milliseconds.
const peerTimeout = 500 * time.Millisecond

// holdTimeout is how long a request waits for a manifest that this agent does not
// have yet.
const holdTimeout = 350 * time.Millisecond

// Manifests holds the manifests that an agent has and serves them to other agents,
// so that few agents read them from the origin. It is safe for concurrent use.
type Manifests struct {
	client *http.Client

	mu      sync.Mutex
	changed chan struct{}     // closed and replaced by put
	encoded map[string][]byte // key: model and version, separated by a slash
}

// NewManifests returns an empty set that requests manifests of other agents through
// client.
func NewManifests(client *http.Client) *Manifests {
	return &Manifests{changed: make(chan struct{}), client: client, encoded: map[string][]byte{}}
}

// put stores a manifest and drops that of the version retainedVersions before it.
// The origin does not keep old versions for long either.
func (m *Manifests) put(model string, version int, encoded []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.encoded, model+"/"+strconv.Itoa(version-retainedVersions))
	m.encoded[model+"/"+strconv.Itoa(version)] = encoded
	close(m.changed)
	m.changed = make(chan struct{})
}

// await returns a manifest as soon as it is stored, or false when ctx is done.
func (m *Manifests) await(ctx context.Context, name string) ([]byte, bool) {
	for {
		m.mu.Lock()
		encoded, ok := m.encoded[name]
		changed := m.changed
		m.mu.Unlock()
		if ok {
			return encoded, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-changed:
		}
	}
}

// retainedVersions is the number of versions of a model whose manifests are kept.
const retainedVersions = 3

// ServeHTTP implements http.Handler.
func (m *Manifests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), holdTimeout)
	defer cancel()
	encoded, ok := m.await(ctx, r.PathValue("model")+"/"+r.PathValue("version"))
	if !ok {
		http.Error(w, "manifest not known here", http.StatusNotFound)
		return
	}
	_, _ = w.Write(encoded) // an error means that the client disconnected
}

// read reads a manifest of at most limit bytes from another agent.
func (m *Manifests) read(ctx context.Context, address, model string, version int, limit int64) (*gooseberrypass.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	target := fmt.Sprintf("http://%s/manifests/%s/%d", address, url.PathEscape(model), version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "create manifest request")
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request manifest from another agent")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("request manifest from another agent: answered %s", resp.Status)
	}
	encoded, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	return gooseberrypass.ParseManifest(encoded)
}

// manifestReaders is the number of agents that read a manifest from the origin at
// once. The others ask these agents first, and the origin when that fails.
const manifestReaders = 2

// handleOffers records that another agent offers a manifest, so that it is asked at
// once: the agents that rank first may be gone or not have the manifest yet.
func (s *Stager) handleOffers(m gossiper.Message) {
	for _, t := range m.Manifests {
		if j := s.jobOf(t.Version); j != nil && t.Model == s.model.Model && j.manifest == nil && j.manifestPeer == "" {
			j.manifestPeer, j.failedAt = m.Address, time.Time{}
		}
	}
}

// A rankedPeer is another agent with its score for a manifest.
type rankedPeer struct {
	address string
	score   uint64
}

// peersBefore returns the agents that rank before this one for the manifest of a version, in
// no order.
func (s *Stager) peersBefore(j *job) []rankedPeer {
	score := func(id gooseberrypass.ID) uint64 { return hash(string(id), "manifest", strconv.Itoa(j.version)) }
	ownScore := score(s.deps.Self.ID)
	var before []rankedPeer
	for _, p := range s.peers {
		if n := score(p.ID); n < ownScore && p.ID != s.deps.Self.ID {
			before = append(before, rankedPeer{address: p.Address, score: n})
		}
	}
	return before
}

// manifestPeers returns the addresses of the agents to ask for a manifest, none if
// the origin is to be asked.
func (s *Stager) manifestPeers(j *job) []string {
	if j.manifestPeer != "" {
		return []string{j.manifestPeer}
	}
	before := s.peersBefore(j)
	// Each failed read lets one more agent in rank order read from the origin.
	if len(before) < manifestReaders+j.manifestFailures {
		return nil
	}
	slices.SortFunc(before, func(a, b rankedPeer) int { return cmp.Compare(a.score, b.score) })
	var peers []string
	for _, r := range before[:manifestReaders] {
		peers = append(peers, r.address)
	}
	if others := before[manifestReaders:]; j.manifestFailures > 0 && len(others) > 0 {
		peers = append(peers, others[j.manifestFailures%len(others)].address)
	}
	return peers
}
