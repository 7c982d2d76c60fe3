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
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// The limits of messages between entries and agents, in bytes.
const (
	// MaxFrame is the largest frame; one with a key-value cache is the largest.
	MaxFrame    = 64 << 20
	frameBuffer = 16 << 10
)

const attemptContentType = "application/x-protobuf"

// A HTTPDispatcher hands attempts to agents over HTTP: generation by POST
// /attempts, all else by twirp.
type HTTPDispatcher struct {
	client *http.Client
}

// NewHTTPDispatcher returns a dispatcher that uses client, which must carry the
// system's shared key and have no timeout of its own.
func NewHTTPDispatcher(client *http.Client) *HTTPDispatcher {
	return &HTTPDispatcher{client: client}
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
		return nil, notSent(err, "encode attempt")
	}
	ctx, connected := traceConnection(ctx)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(to)+"/attempts", bytes.NewReader(body))
	if err != nil {
		return nil, notSent(err, "build attempt")
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
	return &frameStream{body: response.Body, reader: bufio.NewReaderSize(response.Body, frameBuffer)}, nil
}

// Refuse implements Dispatcher. The status is read after the refusal, so that
// an agent which started anew in between is found out.
func (d *HTTPDispatcher) Refuse(ctx context.Context, to gooseberrypass.ListedInstance, attemptID string, version uint64) (wire.AttemptState, error) {
	const unknown = wire.AttemptState_ATTEMPT_STATE_UNKNOWN
	answer, err := d.agent(to).Refuse(ctx, &wire.RefuseRequest{AttemptIds: []string{attemptID}})
	if err != nil {
		return unknown, errors.Wrap(err, "refuse attempt")
	}
	if len(answer.GetStates()) != 1 {
		return unknown, errors.Errorf("refuse attempt: %d states for one attempt", len(answer.GetStates()))
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

// maxVersions bounds how far an agent's status version moves on while an
// attempt is under way. The versions of an agent that starts anew begin at its
// start in nanoseconds, which is further on than that, or lower.
const maxVersions = 1_000_000

// sameProcess reports whether two versions of a status, read one after the
// other, are those of one process.
func sameProcess(before, after uint64) bool {
	return before <= after && after-before < maxVersions
}

func (d *HTTPDispatcher) agent(to gooseberrypass.ListedInstance) wire.Agent {
	return wire.NewAgentProtobufClient(baseURL(to), d.client)
}

func baseURL(to gooseberrypass.ListedInstance) string { return "http://" + to.Address }

// traceConnection returns a context whose request sets the flag as soon as it
// has a connection to be written to.
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
		return notSent(err, doing)
	}
	return errors.Wrap(err, doing)
}

func notSent(err error, doing string) error {
	return errors.Wrapf(ErrNotSent, "%s: %v", doing, err)
}

// A frameStream reads frames from the body of a response.
type frameStream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// Next implements FrameStream.
func (s *frameStream) Next() (*wire.Frame, error) {
	frame := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(s.reader, frame)
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
