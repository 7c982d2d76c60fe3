package publisher

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/merger"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

const (
	manifestKey   = "manifest"
	originReaders = 8
	versionKey    = "version"
)

// A Pin is the digest of a model version's manifest, written to a file.
type Pin struct {
	Digest  gooseberrypass.Digest
	File    string
	Model   gooseberrypass.ID
	Version string

	line     int
	replaces bool
}

// A pinning is a folder whose model versions are pinned.
type pinning struct {
	files map[string]string
	notes []string
	pins  []Pin
}

// A pinner pins the model versions of one folder.
type pinner struct {
	accepted  *gooseberrypass.Config
	check     *checker.Result
	findings  []parser.Finding
	manifests map[gooseberrypass.ID]*gooseberrypass.Manifest
	pinning
}

// pin checks files and pins the model versions in them. The pin of a version
// that state holds already needs no answer from the origin.
func (p *Publisher) pin(ctx context.Context, files map[string]string, state replayer.State) (pinning, error) {
	check := checker.Build(parser.NewFolder("folder", files), 0)
	if findings := check.Findings(); len(findings) > 0 {
		return pinning{}, &FindingsError{Findings: findings}
	}
	w := &pinner{
		accepted: checker.Build(parser.NewFolder("folder", state.Files()), state.LastAccepted()).Config(),
		check:    check,
		pinning:  pinning{files: files},
	}
	if err := w.readManifests(ctx, p.origin); err != nil {
		return pinning{}, err
	}
	for _, s := range check.Merge().Sections() {
		if m := w.manifests[s.ID()]; s.Kind() == gooseberrypass.KindModel && m != nil {
			w.pinSection(s, m)
		}
	}
	w.checkBases()
	if len(w.findings) > 0 {
		return pinning{}, &FindingsError{Findings: parser.SortFindings(w.findings)}
	}
	w.writePins()
	return w.pinning, nil
}

// readManifests reads the manifests of all versions. One that cannot be read is
// a finding, unless its pin was accepted before.
func (w *pinner) readManifests(ctx context.Context, origin gooseberrypass.Origin) error {
	models := w.check.Config().Models()
	manifests := make([]*gooseberrypass.Manifest, len(models))
	faults := make([]error, len(models))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(originReaders)
	for i, model := range models {
		group.Go(func() error {
			encoded, err := origin.Manifest(ctx, model.OriginName(), model.Version())
			if err == nil {
				manifests[i], err = gooseberrypass.ParseManifest(encoded)
			}
			faults[i] = err
			return ctx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	w.manifests = map[gooseberrypass.ID]*gooseberrypass.Manifest{}
	for i, model := range models {
		switch {
		case faults[i] == nil:
			w.manifests[model.ID()] = manifests[i]
		case w.wasAccepted(model):
			w.notes = append(w.notes, fmt.Sprintf("%s version %s stays pinned, though the origin does not give its manifest: %v",
				model.ID(), model.Version(), faults[i]))
		default:
			w.find(model.ID(), versionKey, fmt.Sprintf("the origin gives no manifest of %s version %s: %v",
				model.OriginName(), model.Version(), faults[i]))
		}
	}
	return nil
}

// wasAccepted reports whether a model has the version and pin accepted before.
func (w *pinner) wasAccepted(model gooseberrypass.Model) bool {
	was, ok := w.accepted.Model(model.ID())
	return ok && was.Version() == model.Version() && was.OriginName() == model.OriginName() &&
		was.Manifest() == model.Manifest() && !was.Manifest().IsZero()
}

// isStale reports whether a model's pin is the accepted one of another version.
func (w *pinner) isStale(model gooseberrypass.Model) bool {
	was, ok := w.accepted.Model(model.ID())
	return ok && was.Manifest() == model.Manifest() &&
		(was.Version() != model.Version() || was.OriginName() != model.OriginName())
}

// pinSection pins one model's version, or checks the pin that it has.
func (w *pinner) pinSection(s *merger.Section, m *gooseberrypass.Manifest) {
	model, _ := w.check.Config().Model(s.ID())
	switch {
	case model.Manifest() == m.Digest():
		return
	case w.wasAccepted(model):
		w.notes = append(w.notes, fmt.Sprintf("%s version %s stays pinned to %s, though the origin now holds %s under that name",
			model.ID(), model.Version(), model.Manifest(), m.Digest()))
		delete(w.manifests, model.ID())
		return
	case !model.Manifest().IsZero() && !w.isStale(model):
		w.find(model.ID(), manifestKey, fmt.Sprintf("the origin holds %s under version %s", m.Digest(), model.Version()))
		return
	}
	v, replaces := s.Value(manifestKey)
	if !replaces {
		v, _ = s.Value(versionKey)
	}
	w.pins = append(w.pins, Pin{
		Digest: m.Digest(), File: v.File, Model: model.ID(), Version: model.Version(), line: v.Line, replaces: replaces,
	})
}

// checkBases checks that each version was made for the base it is given.
func (w *pinner) checkBases() {
	for _, model := range w.check.Config().Models() {
		m := w.manifests[model.ID()]
		if m == nil {
			continue
		}
		var want gooseberrypass.Digest
		if base, ok := w.check.Config().Model(model.Base()); ok {
			want = base.Manifest()
			if held := w.manifests[base.ID()]; held != nil {
				want = held.Digest()
			}
		}
		switch {
		case m.Base() == want:
		case want.IsZero():
			w.find(model.ID(), "base", fmt.Sprintf("version %s is an adapter, made for %s: a base is missing", model.Version(), m.Base()))
		case m.Base().IsZero():
			w.find(model.ID(), "base", fmt.Sprintf("version %s is no adapter", model.Version()))
		default:
			w.find(model.ID(), "base", fmt.Sprintf("version %s was made for %s, but the base is %s", model.Version(), m.Base(), want))
		}
	}
}

func (w *pinner) find(id gooseberrypass.ID, key, message string) {
	for _, s := range w.check.Merge().Sections() {
		if s.Kind() != gooseberrypass.KindModel || s.ID() != id {
			continue
		}
		place, ok := s.Value(key)
		if !ok {
			place = s.Place()
			place.Key = key
		}
		w.findings = append(w.findings, place.Finding(message))
	}
}

// writePins writes the pins to their files, from the last line up, as a pin may
// add a line.
func (w *pinner) writePins() {
	slices.SortFunc(w.pins, func(a, b Pin) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(b.line, a.line))
	})
	for _, pin := range w.pins {
		lines := strings.Split(w.files[pin.File], "\n")
		text := manifestKey + " = " + pin.Digest.String()
		if strings.HasSuffix(lines[pin.line-1], "\r") {
			text += "\r"
		}
		if pin.replaces {
			lines[pin.line-1] = text
		} else {
			lines = slices.Insert(lines, pin.line, text)
		}
		w.files[pin.File] = strings.Join(lines, "\n")
	}
}
