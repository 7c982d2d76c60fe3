// Package archiver keeps the manifests of versions in the platform's log, which outlasts
// the processes and the origin of weights.
package archiver

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// ErrNotArchived is wrapped by the errors for versions of which the log has no record.
var ErrNotArchived = errors.New("manifest not archived")

// An Entry is what the log has of a version. Manifest is nil if the record cannot be used.
type Entry struct {
	Manifest *gooseberrypass.Manifest
	Version  int
}

// An Archiver reads and writes the archived manifests. It is safe for concurrent use.
type Archiver struct {
	calls *prometheus.CounterVec
	log   gooseberrypass.KeyedLog
}

// New returns an archiver and registers its counter of calls.
func New(log gooseberrypass.KeyedLog, registerer prometheus.Registerer) (*Archiver, error) {
	a := &Archiver{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_manifest_archive_calls_total",
			Help: "Calls for archived manifests, by call and result.",
		}, []string{"call", "result"}),
		log: log,
	}
	return a, errors.Wrap(registerer.Register(a.calls), "register archive metrics")
}

func (a *Archiver) count(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	a.calls.WithLabelValues(call, result).Inc()
}

// Entries returns what the log has of a model, one entry a version, in no order.
func (a *Archiver) Entries(ctx context.Context, model string) ([]Entry, error) {
	batch, err := a.log.Newest(ctx, gooseberrypass.TopicManifests)
	a.count("read", err)
	if err != nil {
		return nil, errors.Wrap(err, "read archived manifests")
	}
	var entries []Entry
	for _, r := range batch.Records {
		version, ok := versionOf(r.Key, model)
		if !ok || r.Value == nil {
			continue
		}
		m, err := decodeRecord(r.Value, model, version)
		if err != nil {
			a.calls.WithLabelValues("read", "unusable").Inc()
		}
		entries = append(entries, Entry{Manifest: m, Version: version})
	}
	return entries, nil
}

// Manifest returns the archived manifest of a version.
func (a *Archiver) Manifest(ctx context.Context, model string, version int) (*gooseberrypass.Manifest, error) {
	entries, err := a.Entries(ctx, model)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if e.Version == version && e.Manifest != nil {
			return e.Manifest, nil
		}
	}
	return nil, errors.Wrapf(ErrNotArchived, "%s, version %d, among %d entries", model, version, len(entries))
}

// Put archives the manifest of a version. The error wraps gooseberrypass.ErrRecordTooLarge
// if the log takes no record of its size.
func (a *Archiver) Put(ctx context.Context, model string, version int, m *gooseberrypass.Manifest) error {
	value, err := encodeRecord(m)
	if err != nil {
		return err
	}
	err = a.log.Put(ctx, gooseberrypass.TopicManifests, keyOf(model, version), value)
	a.count("put", err)
	return errors.Wrap(err, "archive manifest")
}

// Remove removes the manifest of a version.
func (a *Archiver) Remove(ctx context.Context, model string, version int) error {
	err := a.log.Put(ctx, gooseberrypass.TopicManifests, keyOf(model, version), nil)
	a.count("remove", err)
	return errors.Wrap(err, "remove archived manifest")
}

func keyOf(model string, version int) string { return model + "/" + strconv.Itoa(version) }

// versionOf returns the version of a model that a key stands for, false if it is none.
func versionOf(key, model string) (int, bool) {
	text, ok := strings.CutPrefix(key, model+"/")
	if !ok {
		return 0, false
	}
	version, err := strconv.Atoi(text)
	return version, err == nil && version > 0 && key == keyOf(model, version)
}
