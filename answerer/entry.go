package answerer

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/burnmeter"
	"github.com/gooseberrypass/gooseberrypass/claimer"
	"github.com/gooseberrypass/gooseberrypass/limiter"
	"github.com/gooseberrypass/gooseberrypass/quarantiner"
	"github.com/gooseberrypass/gooseberrypass/reserver"
	"github.com/gooseberrypass/gooseberrypass/retrier"
	"github.com/gooseberrypass/gooseberrypass/router"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Dependencies holds what NewEntry needs to build the request path of an entry
// process.
type Dependencies struct {
	Client     *http.Client // sends requests to agents with the shared key; has no timeout
	Clock      gooseberrypass.Clock
	Config     gooseberrypass.ConfigSource
	Log        gooseberrypass.Log
	Logger     logrus.FieldLogger
	Membership gooseberrypass.Membership
	Memory     *reserver.Budget           // bounds the bodies of requests; nil for no bound
	Partitions int                        // number of claim log streams; 0 means claimer.DefaultPartitions
	Post       func(gooseberrypass.Event) // sends an event to the control loop
	Refused    func(reason string)        // counts bodies that are refused; may be nil without Memory
	Registerer prometheus.Registerer
	Seed       uint64
	Self       gooseberrypass.ListedInstance
}

// An Entry is the request path of an entry process. It starts goroutines only
// while it handles requests.
type Entry struct {
	clock       gooseberrypass.Clock
	config      gooseberrypass.ConfigSource
	controllers []gooseberrypass.Controller
	handler     http.Handler
	membership  gooseberrypass.Membership
	meter       *burnmeter.Meter
	self        gooseberrypass.ListedInstance
}

// NewEntry builds an entry with this filter chain: deadline, identity, target
// resolution, service-level counts, rate limit, quarantine, claim, answer order.
// The chain ends in the retrier, which routes each attempt.
func NewEntry(d Dependencies) (*Entry, error) {
	if d.Partitions == 0 {
		d.Partitions = claimer.DefaultPartitions
	}
	meter, err := burnmeter.New(d.Clock, d.Config, d.Self.ID, d.Registerer)
	if err != nil {
		return nil, err
	}
	limit, err := limiter.New(d.Clock, d.Config, d.Registerer)
	if err != nil {
		return nil, err
	}
	quarantine, err := quarantiner.New(d.Clock, d.Config, d.Post, d.Registerer, d.Logger)
	if err != nil {
		return nil, err
	}
	claim, err := claimer.New(d.Clock, d.Config, d.Log, d.Partitions, d.Post, d.Registerer, d.Logger)
	if err != nil {
		return nil, err
	}
	route, err := router.New(d.Clock, d.Config, d.Membership, d.Self, d.Seed, d.Registerer)
	if err != nil {
		return nil, err
	}
	retry, err := retrier.New(d.Clock, d.Config, route, retrier.NewHTTPDispatcher(d.Client), quarantine, d.Registerer)
	if err != nil {
		return nil, err
	}
	chain := gooseberrypass.Chain(retry,
		deadlineFilter{clock: d.Clock, config: d.Config},
		identityFilter{config: d.Config},
		resolutionFilter{config: d.Config},
		meter, limit, quarantine, claim,
		answerOrderFilter{},
	)
	handler, err := New(d.Clock, d.Config, chain, claim)
	if err != nil {
		return nil, err
	}
	if d.Memory != nil {
		handler = &bodyReader{limit: maxRequestBody, memory: d.Memory, next: handler, refused: d.Refused}
	}
	return &Entry{
		clock:       d.Clock,
		config:      d.Config,
		controllers: []gooseberrypass.Controller{meter, limit, quarantine, claim, route},
		handler:     handler,
		membership:  d.Membership,
		meter:       meter,
		self:        d.Self,
	}, nil
}

// Controllers returns the controllers to run in the control loop of the process.
func (e *Entry) Controllers() []gooseberrypass.Controller { return e.controllers }

// Handler returns the HTTP handler for the caller API.
func (e *Entry) Handler() http.Handler { return e.handler }

// Burn implements wire.Entry.
func (e *Entry) Burn(ctx context.Context, r *wire.BurnRequest) (*wire.BurnResponse, error) {
	return e.meter.Burn(ctx, r)
}

var _ wire.Entry = (*Entry)(nil)
