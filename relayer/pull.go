package relayer

import (
	"compress/gzip"
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

// A document is the answer to a pull. It is compressed, as a configuration of
// many routes shrinks to a sixth and crosses thin links to many processes.
type document struct {
	Next    gooseberrypass.Offset
	Records []agedRecord
}

// An agedRecord is a record with the time since when a process has known it.
type agedRecord struct {
	Age     time.Duration
	Dropped bool // the key was dropped; an empty value is none, and gob does not tell them apart
	Lapsed  bool // the key is kept although it was dropped
	Record  gooseberrypass.KeyedRecord
}

// event returns what a document says as if it had been read.
func (d document) event(topic gooseberrypass.Topic) gooseberrypass.TopicChanged {
	e := gooseberrypass.TopicChanged{Ages: []time.Duration{}, Batch: gooseberrypass.KeyedBatch{Next: d.Next}, Lapsed: map[string]struct{}{}, Topic: topic}
	for _, a := range d.Records {
		if !a.Dropped && a.Record.Value == nil {
			a.Record.Value = []byte{}
		}
		if a.Lapsed {
			e.Lapsed[a.Record.Key] = struct{}{}
		}
		e.Ages = append(e.Ages, a.Age)
		e.Batch.Records = append(e.Batch.Records, a.Record)
	}
	return e
}

// write encodes a document.
func (d document) write(w io.Writer) error {
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return errors.Wrap(err, "compress records")
	}
	if err := gob.NewEncoder(z).Encode(d); err != nil {
		return errors.Wrap(err, "encode records")
	}
	return errors.Wrap(z.Close(), "compress records")
}

// readDocument decodes a document of at most maxAnswer bytes.
func readDocument(r io.Reader) (document, error) {
	var d document
	z, err := gzip.NewReader(r)
	if err != nil {
		return d, errors.Wrap(err, "decompress records")
	}
	return d, errors.Wrap(gob.NewDecoder(io.LimitReader(z, maxAnswer)).Decode(&d), "decode records")
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
	if err := d.write(w); err != nil {
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
	records, since := a.surveyor.RecordsFrom(e.topic, e.from)
	d := document{Next: a.surveyor.NextOffset(e.topic)}
	for i, r := range records {
		d.Records = append(d.Records, agedRecord{
			Age: now.Sub(since[i]), Dropped: r.Value == nil, Lapsed: e.topic == gooseberrypass.TopicEndpoints && a.surveyor.Retained(r.Key), Record: r,
		})
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
	return readDocument(resp.Body)
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
