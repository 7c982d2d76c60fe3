package retrier

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Sizes of frames between entries and agents.
const (
	// MaxFrameBytes is the size of the largest frame. It must hold a frame with a
	// key-value cache.
	MaxFrameBytes    = 64 << 20
	frameBufferBytes = 16 << 10
)

// maxCallResponse bounds the response of an agent to a call of a plain service, in bytes.
const maxCallResponse = MaxFrameBytes

const attemptContentType = "application/x-protobuf"

// A HTTPDispatcher sends attempts to agents over HTTP: generation as POST
// /attempts, everything else as Twirp calls.
type HTTPDispatcher struct {
	calls  *http.Client // for Twirp calls
	client *http.Client
}

// NewHTTPDispatcher returns a dispatcher that uses client. The client must send the
// system's shared key and have no timeout, as each attempt has its own.
func NewHTTPDispatcher(client *http.Client) *HTTPDispatcher {
	return &HTTPDispatcher{calls: dialer.LimitResponses(client, maxCallResponse), client: client}
}

// Call implements Dispatcher.
func (d *HTTPDispatcher) Call(ctx context.Context, to gooseberrypass.ListedInstance, call *wire.CallRequest) (*wire.CallResponse, error) {
	ctx, connected := traceConnection(ctx)
	answer, err := d.agent(to).Call(ctx, call)
	var status twirp.Error
	if errors.As(err, &status) && status.Code() != twirp.Internal {
		return nil, errors.Wrapf(ErrStatus, "call service: %v", err)
	}
	return answer, sentError(err, connected, "call service")
}

// Cancel implements Dispatcher.
func (d *HTTPDispatcher) Cancel(ctx context.Context, to gooseberrypass.ListedInstance, attemptID string) error {
	_, err := d.agent(to).Cancel(ctx, &wire.CancelRequest{AttemptId: attemptID})
	return errors.Wrap(err, "cancel attempt")
}

// Generate implements Dispatcher.
func (d *HTTPDispatcher) Generate(ctx context.Context, to gooseberrypass.ListedInstance, attempt *wire.Attempt) (FrameStream, error) {
	body, err := proto.Marshal(attempt)
	if err != nil {
		return nil, notSentError(err, "encode attempt")
	}
	ctx, connected := traceConnection(ctx)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(to)+"/attempts", bytes.NewReader(body))
	if err != nil {
		return nil, notSentError(err, "build attempt")
	}
	r.Header.Set("Content-Type", attemptContentType)
	response, err := d.client.Do(r)
	if err != nil {
		return nil, sentError(err, connected, "send attempt")
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Wrapf(ErrStatus, "send attempt: %s", response.Status)
	}
	return &frameStream{body: response.Body, reader: bufio.NewReaderSize(response.Body, frameBufferBytes)}, nil
}

// Refuse implements Dispatcher. The status is read after the refusal to detect that
// the agent restarted after the attempt was sent.
func (d *HTTPDispatcher) Refuse(ctx context.Context, to gooseberrypass.ListedInstance, attemptID string, version uint64) (wire.AttemptState, error) {
	const unknown = wire.AttemptState_ATTEMPT_STATE_UNKNOWN
	answer, err := d.agent(to).Refuse(ctx, &wire.RefuseRequest{AttemptIds: []string{attemptID}})
	if err != nil {
		return unknown, errors.Wrap(err, "refuse attempt")
	}
	if len(answer.GetStates()) != 1 {
		return unknown, errors.Errorf("refuse attempt: response has %d states, want 1", len(answer.GetStates()))
	}
	state := answer.GetStates()[0]
	if state != wire.AttemptState_ATTEMPT_STATE_REFUSED {
		return state, nil
	}
	status, err := d.agent(to).Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return unknown, errors.Wrap(err, "refuse attempt")
	}
	if status.GetInstance() != string(to.ID) || !sameProcess(version, status.GetVersion()) {
		return unknown, nil
	}
	return state, nil
}

// maxVersionDelta is more than an agent's status version increases while an attempt
// is in flight. A restarted agent's versions begin at its start time in nanoseconds,
// so they are higher by more than that, or lower.
const maxVersionDelta = 1_000_000

// sameProcess reports whether two versions of an agent's status, read one after the
// other, are from the same process.
func sameProcess(before, after uint64) bool {
	return before <= after && after-before < maxVersionDelta
}

func (d *HTTPDispatcher) agent(to gooseberrypass.ListedInstance) wire.Agent {
	return wire.NewAgentProtobufClient(baseURL(to), d.calls)
}

func baseURL(to gooseberrypass.ListedInstance) string { return "http://" + to.Address }

// traceConnection returns a context and a flag that is set as soon as a request
// with that context has a connection. Until then nothing was sent.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected
}

func sentError(err error, connected *atomic.Bool, doing string) error {
	if err == nil {
		return nil
	}
	if !connected.Load() {
		return notSentError(err, doing)
	}
	return errors.Wrap(err, doing)
}

func notSentError(err error, doing string) error {
	return errors.Wrapf(ErrNotSent, "%s: %v", doing, err)
}

// A frameStream reads length-delimited frames from the body of a response.
type frameStream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// Next implements FrameStream.
func (s *frameStream) Next() (*wire.Frame, error) {
	frame := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(s.reader, frame)
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	return frame, errors.Wrap(err, "read frame")
}

// Close implements FrameStream.
func (s *frameStream) Close() error { return s.body.Close() }

var (
	_ Dispatcher  = (*HTTPDispatcher)(nil)
	_ FrameStream = (*frameStream)(nil)
)
