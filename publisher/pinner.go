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
	manifestKey    = "manifest"
	maxOriginReads = 8 // concurrent reads of manifests
	versionKey     = "version"
)

// A Pin is the digest of a model version's manifest, written to the configuration
// file that sets the version.
type Pin struct {
	Digest  gooseberrypass.Digest
	File    string
	Model   gooseberrypass.ID
	Version string

	line         int  // 1-based line that is replaced, or after which the pin is inserted
	replacesLine bool // the line holds an outdated pin
}

// A pinResult is the files of a folder with all model versions pinned.
type pinResult struct {
	files map[string]string // contents by name
	notes []string          // remarks for the operator
	pins  []Pin             // pins that were added or replaced
}

// A pinner pins the model versions of one folder.
type pinner struct {
	accepted  *gooseberrypass.Config // the last accepted configuration
	check     *checker.Result        // check of the folder to be pinned
	findings  []parser.Finding
	manifests map[gooseberrypass.ID]*gooseberrypass.Manifest // at the origin, by model
	pinResult
}

// pin checks files and pins the model versions in them. The error is a
// *FindingsError if there are faults. A version that is already pinned in state
// stays so, even if the origin does not answer.
func (p *Publisher) pin(ctx context.Context, files map[string]string, state replayer.State) (pinResult, error) {
	check := checker.Build(parser.NewFolder("folder", files), 0)
	if findings := check.Findings(); len(findings) > 0 {
		return pinResult{}, &FindingsError{Findings: findings}
	}
	w := &pinner{
		accepted:  checker.Build(parser.NewFolder("folder", state.Files()), state.LastAccepted()).Config(),
		check:     check,
		pinResult: pinResult{files: files},
	}
	if err := w.readManifests(ctx, p.origin); err != nil {
		return pinResult{}, err
	}
	for _, s := range check.Merge().Sections() {
		if m := w.manifests[s.ID()]; s.Kind() == gooseberrypass.KindModel && m != nil {
			w.pinSection(s, m)
		}
	}
	w.checkBases()
	if len(w.findings) > 0 {
		return pinResult{}, &FindingsError{Findings: parser.SortFindings(w.findings)}
	}
	w.writePins()
	return w.pinResult, nil
}

// readManifests reads the manifests of all model versions from the origin. A
// manifest that cannot be read is a finding, or only a note if the same pin was
// accepted before.
func (p *pinner) readManifests(ctx context.Context, origin gooseberrypass.Origin) error {
	models := p.check.Config().Models()
	manifests := make([]*gooseberrypass.Manifest, len(models))
	errs := make([]error, len(models))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxOriginReads)
	for i, model := range models {
		group.Go(func() error {
			encoded, err := origin.Manifest(ctx, model.OriginName(), model.Version())
			if err == nil {
				manifests[i], err = gooseberrypass.ParseManifest(encoded)
			}
			errs[i] = err
			return ctx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	p.manifests = map[gooseberrypass.ID]*gooseberrypass.Manifest{}
	for i, model := range models {
		switch {
		case errs[i] == nil:
			p.manifests[model.ID()] = manifests[i]
		case p.wasAccepted(model):
			p.notes = append(p.notes, fmt.Sprintf("%s version %s stays pinned, although its manifest cannot be read from the origin: %v",
				model.ID(), model.Version(), errs[i]))
		default:
			p.addFinding(model.ID(), versionKey, fmt.Sprintf("the origin gives no manifest of %s version %s: %v",
				model.OriginName(), model.Version(), errs[i]))
		}
	}
	return nil
}

// wasAccepted reports whether the accepted configuration has the model with the
// same version, origin name and pin.
func (p *pinner) wasAccepted(model gooseberrypass.Model) bool {
	was, ok := p.accepted.Model(model.ID())
	return ok && was.Version() == model.Version() && was.OriginName() == model.OriginName() &&
		was.Manifest() == model.Manifest() && !was.Manifest().IsZero()
}

// hasStalePin reports whether a model's version was changed while its pin is still
// that of the accepted version.
func (p *pinner) hasStalePin(model gooseberrypass.Model) bool {
	was, ok := p.accepted.Model(model.ID())
	return ok && was.Manifest() == model.Manifest() &&
		(was.Version() != model.Version() || was.OriginName() != model.OriginName())
}

// pinSection adds or replaces the pin of one model, or checks the one that it has.
// m is the manifest at the origin. An accepted pin stays even if m differs from it,
// a pin written by the operator must match m.
func (p *pinner) pinSection(s *merger.Section, m *gooseberrypass.Manifest) {
	model, _ := p.check.Config().Model(s.ID())
	switch {
	case model.Manifest() == m.Digest():
		return
	case p.wasAccepted(model):
		p.notes = append(p.notes, fmt.Sprintf("%s version %s stays pinned to %s, although the origin now holds %s under that name",
			model.ID(), model.Version(), model.Manifest(), m.Digest()))
		delete(p.manifests, model.ID())
		return
	case !model.Manifest().IsZero() && !p.hasStalePin(model):
		p.addFinding(model.ID(), manifestKey, fmt.Sprintf("the origin holds %s under version %s", m.Digest(), model.Version()))
		return
	}
	v, replacesLine := s.Value(manifestKey)
	if !replacesLine {
		v, _ = s.Value(versionKey)
	}
	p.pins = append(p.pins, Pin{
		Digest: m.Digest(), File: v.File, Model: model.ID(), Version: model.Version(), line: v.Line, replacesLine: replacesLine,
	})
}

// checkBases checks that each adapter version was made for the pinned version of
// the model's base, and that versions without a base are no adapters.
func (p *pinner) checkBases() {
	for _, model := range p.check.Config().Models() {
		m := p.manifests[model.ID()]
		if m == nil {
			continue
		}
		var want gooseberrypass.Digest
		if base, ok := p.check.Config().Model(model.Base()); ok {
			want = base.Manifest()
			if held := p.manifests[base.ID()]; held != nil {
				want = held.Digest()
			}
		}
		switch {
		case m.Base() == want:
		case want.IsZero():
			p.addFinding(model.ID(), "base", fmt.Sprintf("version %s is an adapter for base %s, but the model sets no base", model.Version(), m.Base()))
		case m.Base().IsZero():
			p.addFinding(model.ID(), "base", fmt.Sprintf("version %s is no adapter", model.Version()))
		default:
			p.addFinding(model.ID(), "base", fmt.Sprintf("version %s was made for %s, but the base is %s", model.Version(), m.Base(), want))
		}
	}
}

// addFinding adds a finding at the position of a model's key, or of its section if the
// key is not set.
func (p *pinner) addFinding(id gooseberrypass.ID, key, message string) {
	for _, s := range p.check.Merge().Sections() {
		if s.Kind() != gooseberrypass.KindModel || s.ID() != id {
			continue
		}
		position, ok := s.Value(key)
		if !ok {
			position = s.Position()
			position.Key = key
		}
		p.findings = append(p.findings, position.Finding(message))
	}
}

// writePins writes the pins to the files. It goes from the last line of a file to
// the first, as an inserted pin moves the lines below it. It keeps CRLF line ends.
func (p *pinner) writePins() {
	slices.SortFunc(p.pins, func(a, b Pin) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(b.line, a.line))
	})
	for _, pin := range p.pins {
		lines := strings.Split(p.files[pin.File], "\n")
		text := manifestKey + " = " + pin.Digest.String()
		if strings.HasSuffix(lines[pin.line-1], "\r") {
			text += "\r"
		}
		if pin.replacesLine {
			lines[pin.line-1] = text
		} else {
			lines = slices.Insert(lines, pin.line, text)
		}
		p.files[pin.File] = strings.Join(lines, "\n")
	}
}
