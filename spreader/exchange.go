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
	exchangeTries   = 3       // peers tried in turn
	inlineLimit     = 4 << 10 // bytes of records pushed unasked
	pullPatience    = 5 * time.Second
)

// exchanged is the event that an exchange with a peer has ended.
type exchanged struct {
	err      error
	peer     *gooseberrypass.ListedInstance
	request  *wire.ExchangeRequest
	response *wire.ExchangeResponse
	try      int
}

// EventName implements gooseberrypass.Event.
func (exchanged) EventName() string { return "config-exchanged" }

// exchangeReceived is the event that a peer has begun an exchange.
type exchangeReceived struct {
	reply   chan<- *wire.ExchangeResponse
	request *wire.ExchangeRequest
}

// EventName implements gooseberrypass.Event.
func (exchangeReceived) EventName() string { return "config-exchange-received" }

// An exchangeEffect compares offsets with a peer.
type exchangeEffect struct {
	client  wire.Peer
	peer    *gooseberrypass.ListedInstance
	request *wire.ExchangeRequest
	try     int
}

// EffectName implements gooseberrypass.Effect.
func (exchangeEffect) EffectName() string { return "config-exchange" }

// Run implements gooseberrypass.Effect.
func (e exchangeEffect) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := e.client.Exchange(ctx, e.request)
	return exchanged{
		err: err, peer: e.peer, request: e.request, response: response, try: e.try,
	}
}

// Exchange implements wire.Peer. It waits for the control goroutine.
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

func (s *Spreader) exchange(peer *gooseberrypass.ListedInstance, request *wire.ExchangeRequest) exchangeEffect {
	return exchangeEffect{client: s.dial(peer.Address), peer: peer, request: request}
}

// request returns a request that carries the offset alone.
func (s *Spreader) request() *wire.ExchangeRequest {
	return &wire.ExchangeRequest{
		Offset:      uint64(s.state.LastAccepted()),
		Sender:      string(s.self.ID),
		StateDigest: s.stateDigest(),
	}
}

// announce returns a request that tells of the state, and brings a peer from
// an offset to it if that takes few bytes.
func (s *Spreader) announce(since gooseberrypass.Offset) *wire.ExchangeRequest {
	request := s.request()
	records, ok := s.history.after(since)
	size := 0
	for _, r := range records {
		size += len(r.GetBody())
	}
	if ok && size <= inlineLimit {
		request.Records = records
	}
	return request
}

// fill adds to a response what brings a peer from an offset to the state.
func (s *Spreader) fill(response *wire.ExchangeResponse, since gooseberrypass.Offset) {
	records, ok := s.history.after(since)
	if !ok {
		response.Snapshot = s.peerSnapshot()
		return
	}
	response.Records = records
}

// answer answers a peer and takes over what it brought.
func (s *Spreader) answer(now time.Time, e exchangeReceived) []gooseberrypass.Effect {
	effects := s.take(now, e.request.GetRecords(), e.request.GetSnapshot())
	offset := gooseberrypass.Offset(e.request.GetOffset())
	s.compareDigests(offset, e.request.GetStateDigest(), e.request.GetSender())
	if offset > s.state.LastAccepted() {
		effects = append(effects, s.pull(now, gooseberrypass.ID(e.request.GetSender()))...)
	}
	response := &wire.ExchangeResponse{Offset: uint64(s.state.LastAccepted()), StateDigest: s.stateDigest()}
	if offset < s.state.LastAccepted() {
		s.fill(response, offset)
	}
	e.reply <- response
	return effects
}

// settleExchange takes over what a peer answered. A peer that lacks something
// gets it by an exchange of its own.
func (s *Spreader) settleExchange(now time.Time, e exchanged) []gooseberrypass.Effect {
	if e.err != nil {
		s.metrics.exchanges.WithLabelValues("failed").Inc()
		s.suspects[e.peer.ID] = now.Add(suspectTime)
		s.pulledUntil = time.Time{}
		return s.tryAnother(now, e)
	}
	s.metrics.exchanges.WithLabelValues("answered").Inc()
	delete(s.suspects, e.peer.ID)
	effects := s.take(now, e.response.GetRecords(), e.response.GetSnapshot())
	offset := gooseberrypass.Offset(e.response.GetOffset())
	s.compareDigests(offset, e.response.GetStateDigest(), string(e.peer.ID))
	return effects
}

// pull gets what this process lacks from a peer that is ahead, unless it is
// already getting it from another.
func (s *Spreader) pull(now time.Time, id gooseberrypass.ID) []gooseberrypass.Effect {
	peer := s.view.find(id)
	if peer == nil || now.Before(s.pulledUntil) {
		return nil
	}
	s.pulledUntil = now.Add(pullPatience)
	return []gooseberrypass.Effect{s.exchange(peer, s.request())}
}

// tryAnother exchanges the same with another peer of the region of one that did
// not answer.
func (s *Spreader) tryAnother(now time.Time, e exchanged) []gooseberrypass.Effect {
	peers := s.view.pick(now, s.rng, e.peer.Region, 1)
	if e.try+1 >= exchangeTries || len(peers) == 0 || e.request.GetOffset() != uint64(s.state.LastAccepted()) {
		return nil
	}
	again := s.exchange(peers[0], e.request)
	again.try = e.try + 1
	return []gooseberrypass.Effect{again}
}

// take takes over records or a snapshot that a peer sent, if they are newer.
func (s *Spreader) take(now time.Time, records []*wire.LogRecord, snapshot []byte) []gooseberrypass.Effect {
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

// compareDigests counts peers that hold other files at the same offset.
func (s *Spreader) compareDigests(offset gooseberrypass.Offset, digest []byte, peer string) {
	if offset == 0 || offset != s.state.LastAccepted() || bytes.Equal(digest, s.stateDigest()) {
		return
	}
	s.metrics.divergences.Inc()
	if s.divergedAt == offset {
		return
	}
	s.divergedAt = offset
	s.logger.WithField("peer", peer).WithField("offset", offset).Error("peer holds other files at the same offset")
}

// recordOf returns a record of the log that a peer sent.
func recordOf(r *wire.LogRecord) gooseberrypass.Record {
	return gooseberrypass.Record{
		Body: r.GetBody(), Offset: gooseberrypass.Offset(r.GetOffset()), Time: time.Unix(0, r.GetUnixNanos()),
	}
}
