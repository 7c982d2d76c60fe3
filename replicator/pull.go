package replicator

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/gob"
	"io"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A document is the response to a pull. It is compressed because a configuration
// with many routes shrinks to a sixth of its size, and is sent to many processes
// over low-bandwidth links.
type document struct {
	Complete bool // Records has every key, so that any other key below Next has been deleted
	Next     gooseberrypass.Offset
	Records  []agedRecord
	Targets  []gooseberrypass.AgedTarget // versions named so far; the store keeps only the record of the newest
}

// An agedRecord is a record with its age.
type agedRecord struct {
	Age     time.Duration // time since the record first became known to any process
	Dropped bool          // the key was deleted; gob does not distinguish a nil value from an empty one
	KeptFor time.Duration // rest of the retention of an endpoint with Lapsed
	Lapsed  bool          // the endpoint is kept although its record expired during an outage
	Record  gooseberrypass.KeyedRecord
}

// event returns the event that a local read of the same records would cause, with
// the ages of the records.
func (d document) event(topic gooseberrypass.Topic) gooseberrypass.TopicChanged {
	e := gooseberrypass.TopicChanged{Ages: []time.Duration{}, Batch: gooseberrypass.KeyedBatch{Complete: d.Complete, Next: d.Next}, Retained: map[string]time.Duration{}, Topic: topic}
	for _, a := range d.Targets {
		a.Age = max(a.Age, 0)
		e.Targets = append(e.Targets, a)
	}
	for _, a := range d.Records {
		if !a.Dropped && a.Record.Value == nil {
			a.Record.Value = []byte{}
		}
		if a.Lapsed {
			e.Retained[a.Record.Key] = a.KeptFor
		}
		e.Ages = append(e.Ages, max(a.Age, 0))
		e.Batch.Records = append(e.Batch.Records, a.Record)
	}
	return e
}

// check returns an error for a document that no process of the system sends. Records with
// such offsets would never be replaced.
func (d document) check() error {
	for _, a := range d.Records {
		if a.Record.Offset >= d.Next {
			return errors.Errorf("record %q has offset %s, want one before %s", a.Record.Key, a.Record.Offset, d.Next)
		}
	}
	return nil
}

// oddTargets removes and returns the versions that are out of range.
func (d *document) oddTargets() []gooseberrypass.AgedTarget {
	var odd []gooseberrypass.AgedTarget
	d.Targets = slices.DeleteFunc(d.Targets, func(a gooseberrypass.AgedTarget) bool {
		out := a.Version <= 0 || a.Version > math.MaxInt32
		if out {
			odd = append(odd, a)
		}
		return out
	})
	return odd
}

// write writes the document to w as gzip-compressed gob.
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

// readDocument decodes a document of at most maxPullSize decompressed bytes and
// maxPullItems records and versions.
func readDocument(r io.Reader) (document, error) {
	z, err := gzip.NewReader(r)
	if err != nil {
		return document{}, errors.Wrap(err, "decompress records")
	}
	encoded, err := io.ReadAll(io.LimitReader(z, maxPullSize+1))
	if err != nil {
		return document{}, errors.Wrap(err, "decompress records")
	}
	if len(encoded) > maxPullSize {
		return document{}, errors.Errorf("records have more than %d bytes", maxPullSize)
	}
	// An item of one byte takes more than a hundred once it is decoded.
	var counts struct {
		Records []struct{ Dropped bool }
		Targets []struct{ Observed bool }
	}
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&counts); err != nil {
		return document{}, errors.Wrap(err, "count records")
	}
	if n := len(counts.Records) + len(counts.Targets); n > maxPullItems {
		return document{}, errors.Errorf("got %d records and versions, want at most %d", n, maxPullItems)
	}
	var d document
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&d); err != nil {
		return document{}, errors.Wrap(err, "decode records")
	}
	return d, d.check()
}

// A handler serves pulls. It reads topics through query because only the control
// goroutine may access them directly.
type handler struct {
	query func(ctx context.Context, topic gooseberrypass.Topic, from gooseberrypass.Offset) (document, error)
}

// NewHandler returns the HTTP handler for pulls. post sends events to the control
// loop.
func NewHandler(post func(gooseberrypass.Event)) http.Handler {
	return handler{query: func(ctx context.Context, topic gooseberrypass.Topic, from gooseberrypass.Offset) (document, error) {
		response := make(chan document, 1)
		post(pullRequested{response: response, from: from, topic: topic})
		select {
		case d := <-response:
			return d, nil
		case <-ctx.Done():
			return document{}, ctx.Err()
		}
	}}
}

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := gooseberrypass.Topic(r.PathValue("topic"))
	if !slices.Contains(topics(), topic) {
		http.Error(w, "no such topic", http.StatusNotFound)
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no offset", http.StatusBadRequest)
		return
	}
	d, err := h.query(r.Context(), topic, gooseberrypass.Offset(from))
	if err != nil {
		return // the client disconnected
	}
	if err := d.write(w); err != nil {
		return // the client disconnected
	}
}

// pullRequested is the event that another process requests records.
type pullRequested struct {
	from     gooseberrypass.Offset
	response chan<- document
	topic    gooseberrypass.Topic
}

// EventName implements gooseberrypass.Event.
func (pullRequested) EventName() string { return "records-asked" }

// A Responder is the controller that responds to pulls with the records of this
// process.
type Responder struct {
	materializer *materializer.Materializer
}

// NewResponder returns a controller that responds with the records of m.
func NewResponder(m *materializer.Materializer) *Responder { return &Responder{materializer: m} }

// Handle implements gooseberrypass.Controller.
func (r *Responder) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	e, ok := event.(pullRequested)
	if !ok {
		return nil
	}
	extract := r.materializer.RecordsFrom(e.topic, e.from)
	d := document{Complete: extract.Complete, Next: r.materializer.NextOffset(e.topic)}
	if e.topic == gooseberrypass.TopicOperator {
		d.Targets = r.materializer.AgedTargets(now)
	}
	for i, record := range extract.Records {
		var keptFor time.Duration
		lapsed := false
		if e.topic == gooseberrypass.TopicEndpoints {
			keptFor, lapsed = r.materializer.Retained(now, record.Key)
		}
		d.Records = append(d.Records, agedRecord{
			Age: now.Sub(extract.Since[i]), Dropped: record.Value == nil, KeptFor: keptFor, Lapsed: lapsed, Record: record,
		})
	}
	e.response <- d
	return nil
}

// A pull requests the records of a topic from offset from on from another process.
type pull struct {
	client      *http.Client
	from        gooseberrypass.Offset
	peer        string // address
	requestedAt time.Time
	timeout     time.Duration
	topic       gooseberrypass.Topic
}

// EffectName implements gooseberrypass.Effect.
func (pull) EffectName() string { return "pull" }

// Run implements gooseberrypass.Effect.
func (p pull) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	d, err := p.read(ctx)
	return pullDone{document: d, err: err, peer: p.peer, requestedAt: p.requestedAt, topic: p.topic}
}

func (p pull) read(ctx context.Context) (document, error) {
	address := url.URL{Scheme: "http", Host: p.peer, Path: "/topics/" + string(p.topic), RawQuery: "from=" + strconv.FormatUint(uint64(p.from), 10)}
	var d document
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		return d, errors.Wrap(err, "create pull request")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return d, errors.Wrap(err, "pull")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return d, errors.Errorf("pull request answered %s", resp.Status)
	}
	return readDocument(resp.Body)
}

// pullDone is the event that a pull succeeded or failed.
type pullDone struct {
	document    document
	err         error
	peer        string
	requestedAt time.Time
	topic       gooseberrypass.Topic
}

// EventName implements gooseberrypass.Event.
func (pullDone) EventName() string { return "records-pulled" }

var (
	_ gooseberrypass.Controller = (*Responder)(nil)
	_ gooseberrypass.Effect     = pull{}
)
