package cacher

import (
	"net/http"
	"strconv"

	"github.com/gooseberrypass/gooseberrypass"
)

// WeightsPattern is the http.ServeMux pattern of a WeightsHandler.
const WeightsPattern = "GET /weights/{digest}"

// A WeightsHandler streams the weights of a complete version to the engine on the
// same instance. It must be served on loopback only.
type WeightsHandler struct {
	cacher *Cacher
}

// NewWeightsHandler returns a handler that serves the chunks of a cacher.
func NewWeightsHandler(cacher *Cacher) *WeightsHandler {
	return &WeightsHandler{cacher: cacher}
}

// ServeHTTP implements http.Handler. It answers 404 unless every chunk is held.
func (h *WeightsHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	digest, err := gooseberrypass.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	manifest, err := h.completeManifest(digest)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(manifest.Size(), 10))
	for i := range manifest.Len() {
		body, err := h.cacher.Chunk(manifest.Chunk(i).Digest)
		if err == nil {
			_, err = w.Write(body)
		}
		if err != nil {
			panic(http.ErrAbortHandler) // makes the engine see truncated weights
		}
	}
}

// completeManifest returns the manifest of a version, or an error unless the
// manifest and every chunk are held.
func (h *WeightsHandler) completeManifest(digest gooseberrypass.Digest) (*gooseberrypass.Manifest, error) {
	encoded, err := h.cacher.Chunk(digest)
	if err != nil {
		return nil, err
	}
	manifest, err := gooseberrypass.ParseManifest(encoded)
	if err != nil {
		return nil, err
	}
	for i := range manifest.Len() {
		if _, err := h.cacher.Chunk(manifest.Chunk(i).Digest); err != nil {
			return nil, err
		}
	}
	return manifest, nil
}

var _ http.Handler = (*WeightsHandler)(nil)
