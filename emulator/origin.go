package emulator

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxWeightsSize bounds the weights of one version, in bytes.
const maxWeightsSize = 4 << 30

// An Origin emulates the platform's origin, which stores the manifests and
// weights of model versions. It counts the bytes of weights that it serves.
type Origin struct {
	FaultInjector
	handler http.Handler
	pacer   pacer

	mu          sync.Mutex
	servedBytes map[versionKey]int64
	versions    map[versionKey]originVersion
}

// NewOrigin returns an empty origin that sends weights at bytesPerSecond in
// total, without a limit if it is 0.
func NewOrigin(clock gooseberrypass.Clock, bytesPerSecond int64) *Origin {
	o := &Origin{
		FaultInjector: FaultInjector{clock: clock},
		pacer:         newPacer(clock, bytesPerSecond),
		servedBytes:   map[versionKey]int64{},
		versions:      map[versionKey]originVersion{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /models/{model}/versions/{version}/manifest", o.getManifest)
	mux.HandleFunc("GET /models/{model}/versions/{version}/weights", o.getWeights)
	mux.HandleFunc("GET /served", o.getServed)
	mux.HandleFunc("PUT /models/{model}/versions/{version}/manifest", o.putManifest)
	mux.HandleFunc("PUT /models/{model}/versions/{version}/weights", o.putWeights)
	o.handler = o.withFaults(mux)
	return o
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.handler.ServeHTTP(w, r) }

type versionKey struct {
	model   string
	version string
}

type originVersion struct {
	manifest []byte
	weights  []byte
}

// Put stores a version or replaces the one with the same name. It does not check
// that the manifest matches the weights.
func (o *Origin) Put(model, version string, manifest, weights []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions[versionKey{model, version}] = originVersion{manifest: manifest, weights: weights}
}

// ServedBytes returns the number of bytes of weights served for a version.
func (o *Origin) ServedBytes(model, version string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.servedBytes[versionKey{model, version}]
}

func requestKey(r *http.Request) versionKey {
	return versionKey{model: r.PathValue("model"), version: r.PathValue("version")}
}

func (o *Origin) version(key versionKey) originVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions[key]
}

func (o *Origin) getManifest(w http.ResponseWriter, r *http.Request) {
	v := o.version(requestKey(r))
	if v.manifest == nil {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(v.manifest)
}

func (o *Origin) getWeights(w http.ResponseWriter, r *http.Request) {
	key := requestKey(r)
	v := o.version(key)
	if v.weights == nil {
		http.NotFound(w, r)
		return
	}
	start, end, ok := parseRange(r.Header.Get("Range"), int64(len(v.weights)))
	if !ok {
		http.Error(w, "bad range", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	body := v.weights[start:end]
	if o.consume(corruptChunks) {
		body = corrupt(body)
	}
	w.Header().Set("Content-Length", strconv.FormatInt(end-start, 10))
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", start, end-1, len(v.weights)))
	w.WriteHeader(http.StatusPartialContent)
	_, _ = o.pacer.write(r.Context(), servedWriter{ResponseWriter: w, key: key, origin: o}, body)
}

// A servedWriter counts the bytes of a version before it sends them, so that they are
// counted when the client has them.
type servedWriter struct {
	http.ResponseWriter
	key    versionKey
	origin *Origin
}

// Write implements io.Writer.
func (w servedWriter) Write(p []byte) (int, error) {
	w.origin.countServed(w.key, len(p))
	n, err := w.ResponseWriter.Write(p)
	w.origin.countServed(w.key, n-len(p))
	return n, err
}

// Unwrap lets http.ResponseController reach the connection.
func (w servedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (o *Origin) countServed(key versionKey, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.servedBytes[key] += int64(n)
}

// parseRange parses a Range header with a single range of the form
// bytes=FIRST-LAST and returns it as a half-open interval.
func parseRange(header string, size int64) (start, end int64, ok bool) { //nolint:nonamedreturns // two of one type
	bounds, ok := strings.CutPrefix(header, "bytes=")
	if !ok {
		return 0, 0, false
	}
	first, last, ok := strings.Cut(bounds, "-")
	if !ok {
		return 0, 0, false
	}
	start, startErr := strconv.ParseInt(first, 10, 64)
	end, endErr := strconv.ParseInt(last, 10, 64)
	if startErr != nil || endErr != nil || start < 0 || end < start || end >= size {
		return 0, 0, false
	}
	return start, end + 1, true
}

// corrupt returns a copy of body with one byte changed.
func corrupt(body []byte) []byte {
	changed := bytes.Clone(body)
	if len(changed) > 0 {
		changed[len(changed)/2] ^= 0xff
	}
	return changed
}

type servedDocument struct {
	Bytes   int64  `json:"bytes"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

func (o *Origin) getServed(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	served := make([]servedDocument, 0, len(o.servedBytes))
	for key, n := range o.servedBytes {
		served = append(served, servedDocument{Bytes: n, Model: key.model, Version: key.version})
	}
	o.mu.Unlock()
	writeJSON(w, http.StatusOK, served)
}

func (o *Origin) putManifest(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, gooseberrypass.MaxManifestSize)
	if !ok {
		return
	}
	o.update(requestKey(r), func(v *originVersion) { v.manifest = body })
	w.WriteHeader(http.StatusNoContent)
}

func (o *Origin) putWeights(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxWeightsSize)
	if !ok {
		return
	}
	o.update(requestKey(r), func(v *originVersion) { v.weights = body })
	w.WriteHeader(http.StatusNoContent)
}

// update applies f to a version, which is created if needed.
func (o *Origin) update(key versionKey, f func(*originVersion)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.versions[key]
	f(&v)
	o.versions[key] = v
}

var _ http.Handler = (*Origin)(nil)
