package retrier_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/retrier"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A fakeAgent is the agent of a plain service and counts the runs of its calls.
type fakeAgent struct {
	wire.Agent
	attempts map[string]wire.AttemptState
	mu       sync.Mutex
	runs     int
	version  uint64
}

func (a *fakeAgent) Call(_ context.Context, r *wire.CallRequest) (*wire.CallResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	response := &wire.CallResponse{AttemptId: r.GetAttemptId(), RequestDigest: r.GetRequestDigest()}
	if _, known := a.attempts[r.GetAttemptId()]; known {
		response.Outcome, response.Reason = "not run", "upstream"
		return response, nil
	}
	a.attempts[r.GetAttemptId()] = wire.AttemptState_ATTEMPT_STATE_STARTED
	a.runs++
	digest := gooseberrypass.DigestOf([]byte("paid"))
	response.Outcome, response.Body, response.BodyDigest = "answered", []byte("paid"), digest[:]
	return response, nil
}

func (a *fakeAgent) Refuse(_ context.Context, r *wire.RefuseRequest) (*wire.RefuseResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	response := &wire.RefuseResponse{}
	for _, id := range r.GetAttemptIds() {
		if _, known := a.attempts[id]; !known {
			a.attempts[id] = wire.AttemptState_ATTEMPT_STATE_REFUSED
		}
		response.States = append(response.States, a.attempts[id])
	}
	return response, nil
}

func (a *fakeAgent) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wire.StatusResponse{Instance: "plain", Version: a.version}, nil
}

// restart drops all attempts and raises the status version, as a new process does.
func (a *fakeAgent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts = map[string]wire.AttemptState{}
	a.version += 5_000_000_000
}

// A cuttingProxy closes its first connection after a number of bytes to or from the
// agent. It keeps the bytes of a request that it cut, so that they can be delivered
// late.
type cuttingProxy struct {
	heldRequest   []byte
	mu            sync.Mutex
	once          sync.Once
	onCut         func()
	requestBytes  int // forwarded to the agent before the cut
	responseBytes int // forwarded from the agent before the cut
	target        string
	wg            sync.WaitGroup
}

func (c *cuttingProxy) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		first := false
		c.once.Do(func() { first = true })
		c.wg.Go(func() { c.forward(conn, first) })
	}
}

func (c *cuttingProxy) forward(conn net.Conn, first bool) {
	agent, err := net.Dial("tcp", c.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	closeBoth := func() {
		_ = conn.Close()
		_ = agent.Close()
	}
	requestBytes, responseBytes := 1<<30, 1<<30
	if first {
		requestBytes, responseBytes = c.requestBytes, c.responseBytes
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.copyBytes(agent, conn, requestBytes, true, closeBoth) })
	wg.Go(func() { c.copyBytes(conn, agent, responseBytes, false, closeBoth) })
	wg.Wait()
}

func (c *cuttingProxy) copyBytes(dst, src net.Conn, limit int, holdRequest bool, closeBoth func()) {
	defer closeBoth()
	b := make([]byte, 64<<10)
	for {
		n, err := src.Read(b)
		if n > limit {
			_, _ = dst.Write(b[:limit])
			if c.onCut != nil {
				c.onCut()
			}
			c.mu.Lock()
			if holdRequest {
				c.heldRequest = append(c.heldRequest, b[:n]...)
			}
			c.mu.Unlock()
			return
		}
		limit -= n
		_, _ = dst.Write(b[:n])
		if err != nil {
			return
		}
	}
}

// deliverLate sends the request that the proxy kept.
func (c *cuttingProxy) deliverLate(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := net.Dial("tcp", c.target)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write(c.heldRequest)
	_, _ = conn.Read(make([]byte, 4096))
	_ = conn.Close()
}

// callThroughProxy makes one call through a cuttingProxy, delivers a kept request
// late, and returns the caller's outcome and the number of runs.
func callThroughProxy(t *testing.T, requestBytes, responseBytes int, restart bool, handle func(retrier.Dispatcher, members) error) (gooseberrypass.Outcome, int) {
	t.Helper()
	agent := &fakeAgent{attempts: map[string]wire.AttemptState{}, version: 1000}
	server := httptest.NewServer(wire.NewAgentServer(agent))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &cuttingProxy{requestBytes: requestBytes, responseBytes: responseBytes, target: server.Listener.Addr().String()}
	if restart {
		proxy.onCut = agent.restart
	}
	proxy.wg.Go(func() { proxy.serve(listener) })
	transport := &http.Transport{}
	err = handle(retrier.NewHTTPDispatcher(&http.Client{Transport: transport}), members{newMember("plain", listener.Addr().String())})
	transport.CloseIdleConnections()
	_ = listener.Close()
	proxy.wg.Wait()
	if len(proxy.heldRequest) > 0 {
		proxy.deliverLate(t)
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	var failure *gooseberrypass.RequestError
	switch {
	case err == nil:
		return gooseberrypass.OutcomeAnswered, agent.runs
	case errors.As(err, &failure):
		return failure.Outcome, agent.runs
	}
	return gooseberrypass.OutcomeUnknown, agent.runs
}

// The connection of a call breaks at different bytes of the exchange, the request
// may arrive late, and the agent may restart. A call with the outcome "not run" must
// not have run and must not run later, and no call may run twice. The naive version
// violates this, as it reports every broken connection as "not run".
func TestNotRunMeansNotRun(t *testing.T) {
	call := newRequest(gooseberrypass.RequestCall, "order", false)
	viaRetrier := func(choices int) func(retrier.Dispatcher, members) error {
		return func(d retrier.Dispatcher, m members) error {
			return newRetrier(t, m, d, 1, choices).Handle(context.Background(), call, &caller{})
		}
	}
	viaNaive := func(d retrier.Dispatcher, m members) error {
		digest := call.Digest()
		_, err := d.Call(context.Background(), m[0].Listed, &wire.CallRequest{AttemptId: "a", RequestDigest: digest[:]})
		if err != nil {
			return &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun}
		}
		return nil
	}
	seen := map[gooseberrypass.Outcome]int{}
	naiveWrong := 0
	const unlimited = 1 << 30
	for n := 0; n <= 600; n += 25 {
		for _, p := range []struct {
			requestBytes, responseBytes int
			restart                     bool
		}{{n, unlimited, false}, {unlimited, n, false}, {unlimited, n, true}, {n, unlimited, true}} {
			for _, choices := range []int{1, unlimitedChoices} {
				outcome, runs := callThroughProxy(t, p.requestBytes, p.responseBytes, p.restart, viaRetrier(choices))
				seen[outcome]++
				if runs > 1 || outcome == gooseberrypass.OutcomeNotRun && runs > 0 || outcome == gooseberrypass.OutcomeAnswered && runs != 1 {
					t.Errorf("cut %+v, %d choices: got %v and %d runs", p, choices, outcome, runs)
				}
			}
			if outcome, runs := callThroughProxy(t, p.requestBytes, p.responseBytes, p.restart, viaNaive); outcome == gooseberrypass.OutcomeNotRun && runs > 0 {
				naiveWrong++
			}
		}
	}
	if naiveWrong == 0 || seen[gooseberrypass.OutcomeUnknown] == 0 || seen[gooseberrypass.OutcomeNotRun] == 0 || seen[gooseberrypass.OutcomeAnswered] == 0 {
		t.Errorf("naive version wrong %d times, outcomes %v: the cuts do not cover all cases", naiveWrong, seen)
	}
	t.Logf("outcomes %v; the naive version was wrong %d times", seen, naiveWrong)
}
