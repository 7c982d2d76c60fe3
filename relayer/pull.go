package relayer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

// A document is the answer to a pull.
type document struct {
	AgesMs  []int64                      `json:"ages_ms"` // since the records were known
	Next    gooseberrypass.Offset        `json:"next"`
	Records []gooseberrypass.KeyedRecord `json:"records"`
}

// A handler answers pulls. It reads topics through ask, as only the control
// goroutine may read them itself.
type handler struct {
	ask func(ctx context.Context, topic gooseberrypass.Topic, from gooseberrypass.Offset) (document, error)
}

// NewHandler returns the handler of pulls. post hands events to the control
// loop.
func NewHandler(post func(gooseberrypass.Event)) http.Handler {
	return handler{ask: func(ctx context.Context, topic gooseberrypass.Topic, from gooseberrypass.Offset) (document, error) {
		answer := make(chan document, 1)
		post(asked{answer: answer, from: from, topic: topic})
		select {
		case d := <-answer:
			return d, nil
		case <-ctx.Done():
			return document{}, ctx.Err()
		}
	}}
}

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no offset", http.StatusBadRequest)
		return
	}
	d, err := h.ask(r.Context(), gooseberrypass.Topic(r.PathValue("topic")), gooseberrypass.Offset(from))
	if err != nil {
		return // the caller left
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return // the caller left
	}
}

// asked is the event that another process pulls records.
type asked struct {
	answer chan<- document
	from   gooseberrypass.Offset
	topic  gooseberrypass.Topic
}

// EventName implements gooseberrypass.Event.
func (asked) EventName() string { return "records-asked" }

// An Answerer is the controller that answers pulls.
type Answerer struct {
	surveyor *surveyor.Surveyor
}

// NewAnswerer returns an answerer.
func NewAnswerer(s *surveyor.Surveyor) *Answerer { return &Answerer{surveyor: s} }

// Handle implements gooseberrypass.Controller.
func (a *Answerer) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	e, ok := event.(asked)
	if !ok {
		return nil
	}
	records, since := a.surveyor.Since(e.topic, e.from)
	d := document{Next: a.surveyor.Next(e.topic), Records: records}
	for _, at := range since {
		d.AgesMs = append(d.AgesMs, now.Sub(at).Milliseconds())
	}
	e.answer <- d
	return nil
}

// A pull asks another process for records.
type pull struct {
	client  *http.Client
	from    gooseberrypass.Offset
	peer    string
	timeout time.Duration
	topic   gooseberrypass.Topic
}

// EffectName implements gooseberrypass.Effect.
func (pull) EffectName() string { return "pull" }

// Run implements gooseberrypass.Effect.
func (p pull) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	d, err := p.read(ctx)
	return pulled{document: d, err: err, peer: p.peer, topic: p.topic}
}

func (p pull) read(ctx context.Context) (document, error) {
	address := url.URL{Scheme: "http", Host: p.peer, Path: "/topics/" + string(p.topic), RawQuery: "from=" + strconv.FormatUint(uint64(p.from), 10)}
	var d document
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		return d, errors.Wrap(err, "make pull")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return d, errors.Wrap(err, "pull")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return d, errors.Errorf("pull answered %s", resp.Status)
	}
	return d, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&d), "decode records")
}

// pulled is the event that a pull ended.
type pulled struct {
	document document
	err      error
	peer     string
	topic    gooseberrypass.Topic
}

// EventName implements gooseberrypass.Event.
func (pulled) EventName() string { return "records-pulled" }

var (
	_ gooseberrypass.Controller = (*Answerer)(nil)
	_ gooseberrypass.Effect     = pull{}
)
