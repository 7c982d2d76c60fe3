package emulator

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxOrderSize is the most bytes of an order, whose manifest is base64.
const maxOrderSize = 2 * gooseberrypass.MaxManifestSize

// A loadedVersion is a version that can answer. Base is the digest of an
// adapter's base model.
type loadedVersion struct {
	base   gooseberrypass.Digest
	digest gooseberrypass.Digest
}

// A load is a load in progress.
type load struct {
	cancel context.CancelFunc
	digest gooseberrypass.Digest
}

// versions returns the loaded versions in order of model.
func (r *engineRun) versions() []gooseberrypass.LoadedVersion {
	versions := make([]gooseberrypass.LoadedVersion, 0, len(r.loaded))
	for model, v := range r.loaded {
		versions = append(versions, gooseberrypass.LoadedVersion{Digest: v.digest, Model: model})
	}
	slices.SortFunc(versions, func(a, b gooseberrypass.LoadedVersion) int {
		return strings.Compare(string(a.Model), string(b.Model))
	})
	return versions
}

// holds reports whether a version of a digest is loaded under any model.
func (r *engineRun) holds(digest gooseberrypass.Digest) bool {
	for _, v := range r.loaded {
		if v.digest == digest {
			return true
		}
	}
	return false
}

// unload drops a model and the adapters that stand on it.
func (r *engineRun) unload(model gooseberrypass.ID) {
	delete(r.loaded, model)
	for adapter, v := range r.loaded {
		if !v.base.IsZero() && !r.holds(v.base) {
			delete(r.loaded, adapter)
		}
	}
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order gooseberrypass.Order
	if !readJSON(w, r, maxOrderSize, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.set.Fenced && order.Fence < e.run.fence {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	if err := e.obey(order); err != nil { //nolint:contextcheck // a load goes on after its order
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.set.Fenced {
		e.run.fence = order.Fence
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) obey(order gooseberrypass.Order) error {
	switch order.Kind {
	case gooseberrypass.OrderAdapter, gooseberrypass.OrderLoad:
		return e.startLoad(order)
	case gooseberrypass.OrderRole:
		return e.changeRole(order.Role)
	case gooseberrypass.OrderUnload:
		e.cancelLoad(order.Model)
		e.run.unload(order.Model)
		return nil
	default:
		return errors.Errorf("unknown kind of order %q", order.Kind)
	}
}

func (e *Engine) changeRole(role gooseberrypass.EngineRole) error {
	switch role {
	case gooseberrypass.EngineRoleDecode, gooseberrypass.EngineRoleMixed, gooseberrypass.EngineRolePrefill:
		e.run.role = role
		return nil
	default:
		return errors.Errorf("unknown role %q", role)
	}
}

func (e *Engine) cancelLoad(model gooseberrypass.ID) {
	if l, ok := e.run.loads[model]; ok {
		l.cancel()
		delete(e.run.loads, model)
	}
}

// startLoad checks an order and begins to load. A load of the same model in
// progress is given up, unless it is of the same version.
func (e *Engine) startLoad(order gooseberrypass.Order) error {
	manifest, err := gooseberrypass.ParseManifest(order.Manifest)
	if err != nil {
		return err
	}
	if manifest.Digest() != order.Digest {
		return errors.Errorf("manifest has digest %s, want %s", manifest.Digest(), order.Digest)
	}
	if !manifest.Base().IsZero() && !e.run.holds(manifest.Base()) {
		return errors.Errorf("base model %s not loaded", manifest.Base())
	}
	if l, ok := e.run.loads[order.Model]; ok && l.digest == order.Digest {
		return nil
	}
	if e.run.loaded[order.Model].digest == order.Digest {
		e.cancelLoad(order.Model)
		return nil
	}
	e.cancelLoad(order.Model)
	run := e.run
	ctx, cancel := context.WithCancel(run.ctx)
	l := &load{cancel: cancel, digest: order.Digest}
	run.loads[order.Model] = l
	e.wg.Go(func() {
		defer cancel()
		digest, err := e.readWeights(ctx, order.WeightsURL, manifest)
		if err == nil {
			err = sleep(ctx, e.clock, e.set.LoadTime)
		}
		e.endLoad(run, l, order.Model, loadedVersion{base: manifest.Base(), digest: digest}, err)
	})
	return nil
}

// endLoad takes a version into service in place of the model's last one.
func (e *Engine) endLoad(run *engineRun, l *load, model gooseberrypass.ID, v loadedVersion, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.loads[model] != l {
		return
	}
	delete(run.loads, model)
	e.loadErr = err
	if err != nil {
		return
	}
	run.unload(model)
	run.loaded[model] = v
	if e.set.InPlace {
		run.replaceWeights(model, v.digest)
	}
}

// readWeights reads the weights chunk after chunk and returns the digest of the
// version that it read.
func (e *Engine) readWeights(
	ctx context.Context,
	url string,
	manifest *gooseberrypass.Manifest,
) (gooseberrypass.Digest, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return gooseberrypass.Digest{}, errors.Wrap(err, "weights")
	}
	resp, err := e.http.Do(r)
	if err != nil {
		return gooseberrypass.Digest{}, errors.Wrap(err, "weights")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return gooseberrypass.Digest{}, errors.Errorf("weights: status %d", resp.StatusCode)
	}
	read, err := readChunks(resp.Body, manifest)
	if err != nil {
		return gooseberrypass.Digest{}, err
	}
	return e.digestOf(manifest, read)
}

// readChunks returns what r really holds in place of the manifest's chunks.
func readChunks(r io.Reader, manifest *gooseberrypass.Manifest) ([]gooseberrypass.Chunk, error) {
	read := make([]gooseberrypass.Chunk, 0, manifest.Len())
	for i := range manifest.Len() {
		size := manifest.Chunk(i).Size
		h := sha256.New()
		if _, err := io.CopyN(h, r, size); err != nil {
			return nil, errors.Wrapf(err, "chunk %d of %d", i, manifest.Len())
		}
		read = append(read, gooseberrypass.Chunk{Digest: gooseberrypass.Digest(h.Sum(nil)), Size: size})
	}
	if n, _ := io.CopyN(io.Discard, r, 1); n > 0 {
		return nil, errors.New("weights are longer than their manifest")
	}
	return read, nil
}

// digestOf returns the digest of the version made of the chunks read, or an
// error if they differ from the manifest and the engine verifies.
func (e *Engine) digestOf(
	manifest *gooseberrypass.Manifest,
	read []gooseberrypass.Chunk,
) (gooseberrypass.Digest, error) {
	for i, c := range read {
		if c == manifest.Chunk(i) {
			continue
		}
		if !e.set.Unverified {
			return gooseberrypass.Digest{}, errors.Errorf("chunk %d is %s, want %s", i, c.Digest, manifest.Chunk(i).Digest)
		}
		other, err := gooseberrypass.NewManifest(manifest.Model(), manifest.Version(), manifest.Base(), read)
		if err != nil {
			return gooseberrypass.Digest{}, err
		}
		return other.Digest(), nil
	}
	return manifest.Digest(), nil
}
