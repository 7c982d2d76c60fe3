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

// A plainAgent stands beside a plain service that records each run.
type plainAgent struct {
	wire.Agent
	attempts map[string]wire.AttemptState
	mu       sync.Mutex
	runs     int
	version  uint64
}

func (a *plainAgent) Call(_ context.Context, r *wire.CallRequest) (*wire.CallResponse, error) {
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

func (a *plainAgent) Refuse(_ context.Context, r *wire.RefuseRequest) (*wire.RefuseResponse, error) {
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

func (a *plainAgent) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wire.StatusResponse{Instance: "plain", Version: a.version}, nil
}

// restart forgets all attempts, as a new process does.
func (a *plainAgent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts = map[string]wire.AttemptState{}
	a.version += 5_000_000_000
}

// A cutter is a proxy that cuts the first connection after some bytes, to or
// from the agent. It may hold back the request and deliver it later.
type cutter struct {
	held     []byte
	mu       sync.Mutex
	once     sync.Once
	onCut    func()
	request  int // bytes let through to the agent
	response int // bytes let through from the agent
	target   string
	wg       sync.WaitGroup
}

func (c *cutter) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		first := false
		c.once.Do(func() { first = true })
		c.wg.Go(func() { c.pass(conn, first) })
	}
}

func (c *cutter) pass(conn net.Conn, first bool) {
	agent, err := net.Dial("tcp", c.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := func() {
		_ = conn.Close()
		_ = agent.Close()
	}
	request, response := 1<<30, 1<<30
	if first {
		request, response = c.request, c.response
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(agent, conn, request, true, stop) })
	wg.Go(func() { c.copy(conn, agent, response, false, stop) })
	wg.Wait()
}

func (c *cutter) copy(dst, src net.Conn, most int, hold bool, stop func()) {
	defer stop()
	b := make([]byte, 64<<10)
	for {
		n, err := src.Read(b)
		if n > most {
			_, _ = dst.Write(b[:most])
			if c.onCut != nil {
				c.onCut()
			}
			c.mu.Lock()
			if hold {
				c.held = append(c.held, b[:n]...)
			}
			c.mu.Unlock()
			return
		}
		most -= n
		_, _ = dst.Write(b[:n])
		if err != nil {
			return
		}
	}
}

// deliverLate sends the request that was held back.
func (c *cutter) deliverLate(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := net.Dial("tcp", c.target)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write(c.held)
	_, _ = conn.Read(make([]byte, 4096))
	_ = conn.Close()
}

// run makes one call through a proxy that cuts, delivers what it held back, and
// returns what the caller was told and how often the service ran.
func run(t *testing.T, request, response int, restart bool, handle func(retrier.Dispatcher, members) error) (gooseberrypass.Outcome, int) {
	t.Helper()
	agent := &plainAgent{attempts: map[string]wire.AttemptState{}, version: 1000}
	server := httptest.NewServer(wire.NewAgentServer(agent))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &cutter{request: request, response: response, target: server.Listener.Addr().String()}
	if restart {
		proxy.onCut = agent.restart
	}
	proxy.wg.Go(func() { proxy.serve(listener) })
	transport := &http.Transport{}
	err = handle(retrier.NewHTTPDispatcher(&http.Client{Transport: transport}), members{newMember("plain", listener.Addr().String())})
	transport.CloseIdleConnections()
	_ = listener.Close()
	proxy.wg.Wait()
	if len(proxy.held) > 0 {
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

// The connection of a call is cut at each point of the exchange, the request
// arrives late, the agent is started anew: who is told "not run" has no run,
// now or later, and nothing runs twice. The naive version takes a broken
// connection for "not run".
func TestNotRunMeansNotRun(t *testing.T) {
	call := newRequest(gooseberrypass.RequestCall, "order", false)
	careful := func(choices int) func(retrier.Dispatcher, members) error {
		return func(d retrier.Dispatcher, m members) error {
			return newRetrier(t, m, d, 1, choices).Handle(context.Background(), call, &caller{})
		}
	}
	plain := func(d retrier.Dispatcher, m members) error {
		digest := call.Digest()
		_, err := d.Call(context.Background(), m[0].Listed, &wire.CallRequest{AttemptId: "a", RequestDigest: digest[:]})
		if err != nil {
			return &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun}
		}
		return nil
	}
	seen := map[gooseberrypass.Outcome]int{}
	naiveWrong := 0
	const whole = 1 << 30
	for n := 0; n <= 600; n += 25 {
		for _, p := range []struct {
			request, response int
			restart           bool
		}{{n, whole, false}, {whole, n, false}, {whole, n, true}, {n, whole, true}} {
			for _, choices := range []int{1, anyChoices} {
				outcome, runs := run(t, p.request, p.response, p.restart, careful(choices))
				seen[outcome]++
				if runs > 1 || outcome == gooseberrypass.OutcomeNotRun && runs > 0 || outcome == gooseberrypass.OutcomeAnswered && runs != 1 {
					t.Errorf("cut %+v, %d choices: told %v, ran %d times", p, choices, outcome, runs)
				}
			}
			if outcome, runs := run(t, p.request, p.response, p.restart, plain); outcome == gooseberrypass.OutcomeNotRun && runs > 0 {
				naiveWrong++
			}
		}
	}
	if naiveWrong == 0 || seen[gooseberrypass.OutcomeUnknown] == 0 || seen[gooseberrypass.OutcomeNotRun] == 0 || seen[gooseberrypass.OutcomeAnswered] == 0 {
		t.Errorf("naive version wrong %d times, outcomes %v: the cuts prove nothing", naiveWrong, seen)
	}
	t.Logf("outcomes %v; the naive version was wrong %d times", seen, naiveWrong)
}
