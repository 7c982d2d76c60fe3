package demonstrator

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/api"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// The settings of the callers.
const (
	callCharge     = "charge"
	callLookup     = "lookup"
	callersPerKind = 8
	maxTokens      = 24
	requestTimeout = 10 * time.Second
	thinkTime      = 20 * time.Millisecond
)

// A tally counts what callers were told.
type tally struct {
	answered int
	broken   int // answers that were not whole
	failed   int // no outcome at all
	mixed    int // answers not of one version
	notRun   int
	reasons  map[string]int // why requests were not answered
	requests int
	unknown  int
}

// A traffic is the callers of the demo.
type traffic struct {
	cancel context.CancelFunc
	clock  gooseberrypass.Clock
	counts tally
	mu     sync.Mutex
	seed   uint64
	urls   []string
	wg     sync.WaitGroup
}

func newTraffic(clock gooseberrypass.Clock, seed uint64, urls []string) *traffic {
	return &traffic{clock: clock, counts: tally{reasons: map[string]int{}}, seed: seed, urls: urls}
}

// A caller sends one request after another.
type caller struct {
	account string
	clients []*api.Client
	id      int
	n       int
	random  *rand.Rand
}

// start starts the callers. They go on until stop.
func (t *traffic) start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	for i := range 3 * callersPerKind {
		c := &caller{
			account: []string{"radio-uno", "/universidad/podcast"}[i%2],
			id:      i,
			random:  rand.New(rand.NewPCG(t.seed, uint64(i))),
		}
		for _, u := range t.urls {
			client, err := api.NewClient(u)
			if err == nil {
				c.clients = append(c.clients, client)
			}
		}
		ask := []func(context.Context, *caller) error{t.generate, t.charge, t.lookup}[i%3]
		t.wg.Go(func() { t.run(ctx, c, ask) })
	}
}

// stop ends the callers; each ends the request it is waiting for.
func (t *traffic) stop() {
	t.cancel()
	t.wg.Wait()
}

// tally returns the counts so far.
func (t *traffic) tally() tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	counts.reasons = maps.Clone(counts.reasons)
	return counts
}

func (t *traffic) run(ctx context.Context, c *caller, ask func(context.Context, *caller) error) {
	for ctx.Err() == nil {
		c.n++
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		t.count(ask(call, c))
		cancel()
		select {
		case <-ctx.Done():
		case <-t.clock.After(thinkTime):
		}
	}
}

// Errors of answers that break a promise.
var (
	errBroken = errors.New("answer is not whole")
	errMixed  = errors.New("answer is not of one version")
)

func (t *traffic) count(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.requests++
	var failure *api.FailureStatusCodeWithHeaders
	switch {
	case err == nil:
		t.counts.answered++
	case errors.Is(err, errBroken):
		t.counts.broken++
	case errors.Is(err, errMixed):
		t.counts.mixed++
	case !errors.As(err, &failure):
		t.counts.failed++
	case failure.Response.Outcome == api.FailureOutcomeNotRun:
		t.counts.notRun++
		t.counts.reasons[failureReason(failure)]++
	default:
		t.counts.unknown++
		t.counts.reasons[failureReason(failure)]++
	}
}

func failureReason(f *api.FailureStatusCodeWithHeaders) string {
	return string(f.Response.Outcome) + ": " + f.Response.Reason
}

func (c *caller) client() *api.Client { return c.clients[c.n%len(c.clients)] }

// generate asks for a script and checks that it is whole and of one version.
func (t *traffic) generate(ctx context.Context, c *caller) error {
	prompt := fmt.Sprintf("jingle %d of caller %d, mood %d", c.n, c.id, c.random.IntN(100))
	names := []string{modelName, "MDL-0042", "/fonoteca/scripts/jingle-writer"}
	answer, err := c.client().Generate(ctx, &api.GenerateRequest{
		MaxTokens: api.NewOptInt(maxTokens),
		Model:     names[c.n%len(names)],
		Prompt:    prompt,
	}, api.GenerateParams{ClientAccount: c.account})
	if err != nil {
		return err
	}
	whole, ok := answer.(*api.GenerateAnswer)
	if !ok || int64(len(whole.Text)) != whole.Length || gooseberrypass.DigestOf([]byte(whole.Text)).String() != whole.Digest {
		return errBroken
	}
	weights, err := gooseberrypass.ParseDigest(whole.Weights)
	if err != nil {
		return errBroken
	}
	if whole.Text != emulator.Text(weights, prompt, maxTokens) {
		return errMixed
	}
	return nil
}

// charge asks for a charge through every entry at once, with one key.
func (t *traffic) charge(ctx context.Context, c *caller) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	errs := make([]error, len(c.clients))
	var wg sync.WaitGroup
	for i, client := range c.clients {
		wg.Go(func() { errs[i] = c.call(ctx, client, callCharge, key.String()) })
	}
	wg.Wait()
	for _, err := range errs {
		if err == nil {
			return nil
		}
	}
	return errs[0]
}

func (t *traffic) lookup(ctx context.Context, c *caller) error {
	return c.call(ctx, c.client(), callLookup, "")
}

func (c *caller) call(ctx context.Context, client *api.Client, call, key string) error {
	params := api.CallServiceParams{Call: call, ClientAccount: c.account, Service: "SRV-0007"}
	if key != "" {
		params.IdempotencyKey = api.NewOptString(key)
	}
	body := api.CallServiceReq{Data: strings.NewReader(fmt.Sprintf("grant %d of caller %d", c.n, c.id))}
	_, err := client.CallService(ctx, body, params)
	return err
}
