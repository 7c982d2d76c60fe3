package spreader

import (
	"bytes"
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/replayer"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	exchangeTimeout = time.Second
	exchangeTries   = 3               // peers tried in turn
	maxInlineBytes  = 4 << 10         // largest total size of the records that a push carries
	pullTimeout     = 5 * time.Second // after which another pull may start, even if this one brought nothing
)

// exchanged is the event that an exchange started by this process has ended.
type exchanged struct {
	err      error
	peer     *gooseberrypass.ListedInstance
	request  *wire.ExchangeRequest
	response *wire.ExchangeResponse
	tries    int // failed attempts at other peers before this one
}

// EventName implements gooseberrypass.Event.
func (exchanged) EventName() string { return "config-exchanged" }

// exchangeReceived is the event that a peer has started an exchange.
type exchangeReceived struct {
	reply   chan<- *wire.ExchangeResponse
	request *wire.ExchangeRequest
}

// EventName implements gooseberrypass.Event.
func (exchangeReceived) EventName() string { return "config-exchange-received" }

// An exchangeEffect calls Exchange on a peer.
type exchangeEffect struct {
	client  wire.Peer
	peer    *gooseberrypass.ListedInstance
	request *wire.ExchangeRequest
	tries   int
}

// EffectName implements gooseberrypass.Effect.
func (exchangeEffect) EffectName() string { return "config-exchange" }

// Run implements gooseberrypass.Effect.
func (e exchangeEffect) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := e.client.Exchange(ctx, e.request)
	return exchanged{
		err: err, peer: e.peer, request: e.request, response: response, tries: e.tries,
	}
}

// Exchange implements wire.Peer. It blocks until the control goroutine has
// answered, for at most exchangeTimeout.
func (s *Spreader) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	reply := make(chan *wire.ExchangeResponse, 1)
	s.post(exchangeReceived{reply: reply, request: request})
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	select {
	case response := <-reply:
		return response, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "the control goroutine did not answer")
	}
}

func (s *Spreader) newExchange(peer *gooseberrypass.ListedInstance, request *wire.ExchangeRequest) exchangeEffect {
	return exchangeEffect{client: s.dial(peer.Address), peer: peer, request: request}
}

// offsetRequest returns a request with this process's offset and digest, and no
// records.
func (s *Spreader) offsetRequest() *wire.ExchangeRequest {
	return &wire.ExchangeRequest{
		Offset:      uint64(s.state.LastAccepted()),
		Sender:      string(s.self.ID),
		StateDigest: s.stateDigest(),
	}
}

// pushRequest returns a request that announces the state. It carries the records
// accepted after since if they fit into maxInlineBytes; otherwise the peer pulls
// them.
func (s *Spreader) pushRequest(since gooseberrypass.Offset) *wire.ExchangeRequest {
	request := s.offsetRequest()
	records, ok := s.history.after(since)
	size := 0
	for _, r := range records {
		size += len(r.GetBody())
	}
	if ok && size <= maxInlineBytes {
		request.Records = records
	}
	return request
}

// addMissing adds to a response what a peer at offset since lacks: records, or a
// snapshot if the history does not reach back that far.
func (s *Spreader) addMissing(response *wire.ExchangeResponse, since gooseberrypass.Offset) {
	records, ok := s.history.after(since)
	if !ok {
		response.Snapshot = s.cachedSnapshot()
		return
	}
	response.Records = records
}

// handleExchange accepts what a peer has pushed, pulls from the peer if it is
// ahead, and replies with what it lacks.
func (s *Spreader) handleExchange(now time.Time, e exchangeReceived) []gooseberrypass.Effect {
	effects := s.acceptFromPeer(now, e.request.GetRecords(), e.request.GetSnapshot())
	offset := gooseberrypass.Offset(e.request.GetOffset())
	s.compareDigests(offset, e.request.GetStateDigest(), e.request.GetSender())
	if offset > s.state.LastAccepted() {
		effects = append(effects, s.pull(now, gooseberrypass.ID(e.request.GetSender()))...)
	}
	response := &wire.ExchangeResponse{Offset: uint64(s.state.LastAccepted()), StateDigest: s.stateDigest()}
	if offset < s.state.LastAccepted() {
		s.addMissing(response, offset)
	}
	e.reply <- response
	return effects
}

// handleResponse accepts what a peer has returned. It sends nothing to a peer
// that is behind: the peer pulls when it sees the higher offset in the request.
func (s *Spreader) handleResponse(now time.Time, e exchanged) []gooseberrypass.Effect {
	if e.err != nil {
		s.metrics.exchanges.WithLabelValues("failed").Inc()
		s.suspects[e.peer.ID] = now.Add(suspicionPeriod)
		s.pullDeadline = time.Time{}
		return s.retryExchange(now, e)
	}
	s.metrics.exchanges.WithLabelValues("answered").Inc()
	delete(s.suspects, e.peer.ID)
	effects := s.acceptFromPeer(now, e.response.GetRecords(), e.response.GetSnapshot())
	offset := gooseberrypass.Offset(e.response.GetOffset())
	s.compareDigests(offset, e.response.GetStateDigest(), string(e.peer.ID))
	return effects
}

// pull requests what this process lacks from a peer that is ahead, unless
// another pull is in flight.
func (s *Spreader) pull(now time.Time, id gooseberrypass.ID) []gooseberrypass.Effect {
	peer := s.view.find(id)
	if peer == nil || now.Before(s.pullDeadline) {
		return nil
	}
	s.pullDeadline = now.Add(pullTimeout)
	return []gooseberrypass.Effect{s.newExchange(peer, s.offsetRequest())}
}

// retryExchange sends the request of a failed exchange to another peer of the
// same region, unless all tries are used up or the state has changed since.
func (s *Spreader) retryExchange(now time.Time, e exchanged) []gooseberrypass.Effect {
	peers := s.view.pick(now, s.rng, e.peer.Region, 1)
	if e.tries+1 >= exchangeTries || len(peers) == 0 || e.request.GetOffset() != uint64(s.state.LastAccepted()) {
		return nil
	}
	retry := s.newExchange(peers[0], e.request)
	retry.tries = e.tries + 1
	return []gooseberrypass.Effect{retry}
}

// acceptFromPeer adopts the records or the snapshot of a peer if they are newer
// than the state.
func (s *Spreader) acceptFromPeer(now time.Time, records []*wire.LogRecord, snapshot []byte) []gooseberrypass.Effect {
	state, accepted, err := acceptRecords(s.key, s.state, records)
	if err != nil {
		s.metrics.exchanges.WithLabelValues("refused").Inc()
	}
	if len(accepted) > 0 {
		return s.adopt(now, state, accepted)
	}
	if len(snapshot) == 0 {
		return nil
	}
	decoded, err := replayer.Decode(s.key, snapshot)
	if err != nil || decoded.Snapshot == nil {
		s.metrics.exchanges.WithLabelValues("refused").Inc()
		return nil
	}
	return s.adopt(now, replayer.NewState(*decoded.Snapshot), nil)
}

// compareDigests counts exchanges with a peer that has other files at the same
// offset, and logs the first at each offset.
func (s *Spreader) compareDigests(offset gooseberrypass.Offset, digest []byte, peer string) {
	if offset == 0 || offset != s.state.LastAccepted() || bytes.Equal(digest, s.stateDigest()) {
		return
	}
	s.metrics.divergences.Inc()
	if s.divergedAt == offset {
		return
	}
	s.divergedAt = offset
	s.logger.WithField("peer", peer).WithField("offset", offset).Error("peer has different configuration files at the same offset")
}

// recordFromWire converts a log record received from a peer.
func recordFromWire(r *wire.LogRecord) gooseberrypass.Record {
	return gooseberrypass.Record{
		Body: r.GetBody(), Offset: gooseberrypass.Offset(r.GetOffset()), Time: time.Unix(0, r.GetUnixNanos()),
	}
}
