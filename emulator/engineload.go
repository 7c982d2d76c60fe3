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

// maxOrderSize bounds the body of an order, in bytes. It allows for the base64
// encoding of the manifest.
const maxOrderSize = 2 * gooseberrypass.MaxManifestSize

// A loadedVersion is a version that can serve requests. base is the digest of an
// adapter's base model, or zero.
type loadedVersion struct {
	base   gooseberrypass.Digest
	digest gooseberrypass.Digest
}

// A load is a load in progress.
type load struct {
	cancel context.CancelFunc
	digest gooseberrypass.Digest
}

// versions returns the loaded versions, sorted by model.
func (b *engineBoot) versions() []gooseberrypass.LoadedVersion {
	versions := make([]gooseberrypass.LoadedVersion, 0, len(b.loaded))
	for model, v := range b.loaded {
		versions = append(versions, gooseberrypass.LoadedVersion{Digest: v.digest, Model: model})
	}
	slices.SortFunc(versions, func(x, y gooseberrypass.LoadedVersion) int {
		return strings.Compare(string(x.Model), string(y.Model))
	})
	return versions
}

// isLoaded reports whether a version with the given digest is loaded under any
// model.
func (b *engineBoot) isLoaded(digest gooseberrypass.Digest) bool {
	for _, v := range b.loaded {
		if v.digest == digest {
			return true
		}
	}
	return false
}

// unload removes a model and the adapters whose base is no longer loaded.
func (b *engineBoot) unload(model gooseberrypass.ID) {
	delete(b.loaded, model)
	for adapter, v := range b.loaded {
		if !v.base.IsZero() && !b.isLoaded(v.base) {
			delete(b.loaded, adapter)
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
	if e.settings.Fenced && order.Fence < e.boot.fence {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	if err := e.execute(order); err != nil { //nolint:contextcheck // a load outlives the request that ordered it
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.settings.Fenced {
		e.boot.fence = order.Fence
	}
	w.WriteHeader(http.StatusAccepted)
}

// execute carries out an order. e.mu must be held.
func (e *Engine) execute(order gooseberrypass.Order) error {
	switch order.Kind {
	case gooseberrypass.OrderAdapter, gooseberrypass.OrderLoad:
		return e.startLoad(order)
	case gooseberrypass.OrderRole:
		return e.changeRole(order.Role)
	case gooseberrypass.OrderUnload:
		e.cancelLoad(order.Model)
		e.boot.unload(order.Model)
		return nil
	default:
		return errors.Errorf("unknown kind of order %q", order.Kind)
	}
}

func (e *Engine) changeRole(role gooseberrypass.EngineRole) error {
	switch role {
	case gooseberrypass.EngineRoleDecode, gooseberrypass.EngineRoleMixed, gooseberrypass.EngineRolePrefill:
		e.boot.role = role
		return nil
	default:
		return errors.Errorf("unknown role %q", role)
	}
}

func (e *Engine) cancelLoad(model gooseberrypass.ID) {
	if l, ok := e.boot.loads[model]; ok {
		l.cancel()
		delete(e.boot.loads, model)
	}
}

// startLoad validates an order and starts the load in the background. It cancels
// a load of another version of the model that is in progress.
func (e *Engine) startLoad(order gooseberrypass.Order) error {
	manifest, err := gooseberrypass.ParseManifest(order.Manifest)
	if err != nil {
		return err
	}
	if manifest.Digest() != order.Digest {
		return errors.Errorf("manifest has digest %s, want %s", manifest.Digest(), order.Digest)
	}
	if !manifest.Base().IsZero() && !e.boot.isLoaded(manifest.Base()) {
		return errors.Errorf("base model %s not loaded", manifest.Base())
	}
	if l, ok := e.boot.loads[order.Model]; ok && l.digest == order.Digest {
		return nil
	}
	if e.boot.loaded[order.Model].digest == order.Digest {
		e.cancelLoad(order.Model)
		return nil
	}
	e.cancelLoad(order.Model)
	boot := e.boot
	ctx, cancel := context.WithCancel(boot.ctx)
	l := &load{cancel: cancel, digest: order.Digest}
	boot.loads[order.Model] = l
	e.wg.Go(func() {
		defer cancel()
		digest, err := e.readWeights(ctx, order.WeightsURL, manifest)
		if err == nil {
			err = sleep(ctx, e.clock, e.settings.LoadTime)
		}
		e.endLoad(boot, l, order.Model, loadedVersion{base: manifest.Base(), digest: digest}, err)
	})
	return nil
}

// endLoad replaces the model's loaded version by v, or records err. It does
// nothing if the load was cancelled.
func (e *Engine) endLoad(boot *engineBoot, l *load, model gooseberrypass.ID, v loadedVersion, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot.loads[model] != l {
		return
	}
	delete(boot.loads, model)
	e.loadErr = err
	if err != nil {
		return
	}
	boot.unload(model)
	boot.loaded[model] = v
	if e.settings.InPlace {
		boot.replaceWeights(model, v.digest)
	}
}

// readWeights downloads the weights and returns the digest of the version they
// make up.
func (e *Engine) readWeights(
	ctx context.Context,
	url string,
	manifest *gooseberrypass.Manifest,
) (gooseberrypass.Digest, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return gooseberrypass.Digest{}, errors.Wrap(err, "fetch weights")
	}
	resp, err := e.http.Do(r)
	if err != nil {
		return gooseberrypass.Digest{}, errors.Wrap(err, "fetch weights")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return gooseberrypass.Digest{}, errors.Errorf("fetch weights: unexpected status %d", resp.StatusCode)
	}
	read, err := readChunks(resp.Body, manifest)
	if err != nil {
		return gooseberrypass.Digest{}, err
	}
	return e.digestOf(manifest, read)
}

// readChunks returns the digests and sizes of the data in r, split at the
// manifest's chunk boundaries.
func readChunks(r io.Reader, manifest *gooseberrypass.Manifest) ([]gooseberrypass.Chunk, error) {
	read := make([]gooseberrypass.Chunk, 0, manifest.Len())
	for i := range manifest.Len() {
		size := manifest.Chunk(i).Size
		h := sha256.New()
		if _, err := io.CopyN(h, r, size); err != nil {
			return nil, errors.Wrapf(err, "read chunk %d of %d", i, manifest.Len())
		}
		read = append(read, gooseberrypass.Chunk{Digest: gooseberrypass.Digest(h.Sum(nil)), Size: size})
	}
	if n, _ := io.CopyN(io.Discard, r, 1); n > 0 {
		return nil, errors.New("weights are larger than the manifest says")
	}
	return read, nil
}

// digestOf returns the digest of the version made up of the given chunks. If they
// differ from the manifest, it returns an error, or with Unverified the digest of
// the version that was actually read.
func (e *Engine) digestOf(
	manifest *gooseberrypass.Manifest,
	read []gooseberrypass.Chunk,
) (gooseberrypass.Digest, error) {
	for i, c := range read {
		if c == manifest.Chunk(i) {
			continue
		}
		if !e.settings.Unverified {
			return gooseberrypass.Digest{}, errors.Errorf("chunk %d has digest %s, want %s", i, c.Digest, manifest.Chunk(i).Digest)
		}
		other, err := gooseberrypass.NewManifest(manifest.Model(), manifest.Version(), manifest.Base(), read)
		if err != nil {
			return gooseberrypass.Digest{}, err
		}
		return other.Digest(), nil
	}
	return manifest.Digest(), nil
}
