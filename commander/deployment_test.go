package commander_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

const (
	awaitTimeout = time.Minute // of each call of await
	chunkSize    = 256 << 10   // bytes
	pollPeriod   = 20 * time.Millisecond
	weightsSize  = 4 << 20 // bytes
)

// A child is one process of a deployment.
type child struct {
	args       []string
	cmd        *exec.Cmd
	ended      chan struct{} // closed when the process has ended
	name       string
	url        string // of an emulator, or of an agent or entry for other processes
	callersURL string // of an entry for callers
}

// signal sends a signal to the process.
func (c *child) signal(tb testing.TB, s os.Signal) {
	tb.Helper()
	if err := c.cmd.Process.Signal(s); err != nil {
		tb.Fatalf("signal %s: %v", c.name, err)
	}
}

// awaitEnd waits until the process has ended and returns its exit status.
func (c *child) awaitEnd(tb testing.TB) int {
	tb.Helper()
	await(tb, c.name+" to end", func() error {
		select {
		case <-c.ended:
			return nil
		default:
			return errors.New("still runs")
		}
	})
	return c.cmd.ProcessState.ExitCode()
}

// await polls until condition returns nil.
func await(tb testing.TB, what string, condition func() error) {
	tb.Helper()
	err := errors.New("never tried")
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		if err = condition(); err == nil {
			return
		}
	}
	tb.Fatalf("waited %s for %s: %v", awaitTimeout, what, err)
}

// A deployment is a whole system of separate processes on loopback addresses of its
// own, with emulators of the platform's services.
type deployment struct {
	agents  []*child // one for each engine, then that of the service
	client  *http.Client
	dir     string
	engines []*child
	entries []*child
	folder  string
	list    *child
	log     *child
	origin  *child
	port    int
	program string
	service *child
	t       testing.TB // the whole test, at whose end the processes are killed
}

// newDeployment builds the program and starts a log, an origin, a list, a
// plain service, an engine for each of engineArgs, an agent for each endpoint
// and two entries.
func newDeployment(tb testing.TB, engineArgs ...[]string) *deployment {
	tb.Helper()
	d := &deployment{
		client: &http.Client{Transport: &http.Transport{}, Timeout: awaitTimeout},
		dir:    tb.TempDir(),
		port:   20000,
		t:      tb,
	}
	tb.Cleanup(d.client.CloseIdleConnections)
	d.program = filepath.Join(d.dir, "gooseberrypass")
	build := exec.Command("go", "build", "-o", d.program, "../cmd/gooseberrypass")
	if out, err := build.CombinedOutput(); err != nil {
		tb.Fatalf("build: %v\n%s", err, out)
	}
	d.write(tb, "key", "shared secret")
	d.log = d.startEmulator(tb, "log", "--append-rate", "300")
	d.origin = d.startEmulator(tb, "origin")
	d.list = d.startEmulator(tb, "list", "--lag", "200ms")
	d.service = d.startEmulator(tb, "service")
	for _, args := range engineArgs {
		d.engines = append(d.engines, d.startEmulator(tb, "engine", append([]string{"--load-lag", "0s"}, args...)...))
	}
	for i, engine := range d.engines {
		d.agents = append(d.agents, d.startAgent(tb, fmt.Sprintf("writer-%d", i), "pool = writers\nengine = "+engine.url))
	}
	d.agents = append(d.agents, d.startAgent(tb, "licences", "pool = licences\nservice = "+d.service.url))
	for i := range 2 {
		d.entries = append(d.entries, d.startEntry(tb, fmt.Sprintf("entry-%d", i)))
	}
	d.writeFolder(tb)
	return d
}

func (d *deployment) write(tb testing.TB, name, body string) string {
	tb.Helper()
	path := filepath.Join(d.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}

// newAddress returns an address that nothing else uses: an IP number of 127.0.0.0/8
// derived from this process's id and the test's name, and a port of its own below the
// kernel's ephemeral ports.
func (d *deployment) newAddress() string {
	d.port++
	name := xxhash.Sum64String(d.t.Name())
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+os.Getpid()&0x7f, name>>8&0xff, 1+name&0x7f, d.port)
}

// start starts the program. The process is killed when the test ends, or by the kernel
// if the test process dies.
func (d *deployment) start(tb testing.TB, name string, stdout io.Writer, args ...string) *child {
	tb.Helper()
	c := &child{args: args, cmd: exec.Command(d.program, args...), ended: make(chan struct{}), name: name}
	logPath := filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano()))
	logFile, err := os.Create(logPath)
	if err != nil {
		tb.Fatal(err)
	}
	c.cmd.Stderr, c.cmd.Stdout = logFile, stdout
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		tb.Fatalf("start %s: %v", name, err)
	}
	go func() {
		defer close(c.ended)
		_ = c.cmd.Wait()
		_ = logFile.Close()
	}()
	d.t.Cleanup(func() {
		_ = c.cmd.Process.Kill() // also ends a process stopped by SIGSTOP
		<-c.ended
		if d.t.Failed() {
			text, _ := os.ReadFile(logPath)
			d.t.Logf("%s:\n%s", name, text[max(0, len(text)-4096):])
		}
	})
	return c
}

func (d *deployment) startEmulator(tb testing.TB, kind string, args ...string) *child {
	tb.Helper()
	reader, writer := io.Pipe()
	c := d.start(tb, kind, writer, append([]string{"emulator", kind}, args...)...)
	line, err := bufio.NewReader(reader).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if err != nil || !ok {
		tb.Fatalf("%s: got %q and error %v, want its address", kind, line, err)
	}
	c.url = "http://" + address
	return c
}

func (d *deployment) settings(tb testing.TB, name, address, section string) string {
	tb.Helper()
	return d.write(tb, name+".ini", fmt.Sprintf(`[process]
instance = %s
region = centro
failure-domain = centro
listen = %s
shared-key-file = key
[platform]
log = %s
instance-list = %s
origin = %s
%s
`, name, address, d.log.url, d.list.url, d.origin.url, section))
}

func (d *deployment) startAgent(tb testing.TB, name, keys string) *child {
	tb.Helper()
	address := d.newAddress()
	path := d.settings(tb, name, address, "[agent]\n"+keys)
	pool := strings.Fields(keys)[2]
	c := d.start(tb, name, nil, "agent", "--settings", path)
	c.url = "http://" + address
	d.listInstance(tb, gooseberrypass.ListedInstance{
		Address: address, FailureDomain: "centro", ID: gooseberrypass.ID(name),
		Pool: gooseberrypass.Pool(pool), Region: "centro", Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive,
	})
	return c
}

func (d *deployment) startEntry(tb testing.TB, name string) *child {
	tb.Helper()
	address, callers := d.newAddress(), d.newAddress()
	path := d.settings(tb, name, address, "[entry]\ncallers-listen = "+callers)
	c := d.start(tb, name, nil, "entry", "--settings", path)
	c.url, c.callersURL = "http://"+address, "http://"+callers
	d.listInstance(tb, gooseberrypass.ListedInstance{
		Address: address, FailureDomain: "centro", ID: gooseberrypass.ID(name),
		Region: "centro", Role: gooseberrypass.RoleEntry, State: gooseberrypass.ListedLive,
	})
	return c
}

// restart starts another process with the settings of c.
func (d *deployment) restart(tb testing.TB, c *child) *child {
	tb.Helper()
	n := d.start(tb, c.name, nil, c.args...)
	n.url, n.callersURL = c.url, c.callersURL
	return n
}

func (d *deployment) listInstance(tb testing.TB, row gooseberrypass.ListedInstance) {
	tb.Helper()
	body, err := json.Marshal(row)
	if err != nil {
		tb.Fatal(err)
	}
	d.put(tb, d.list.url+"/instances/"+string(row.ID), body)
}

func (d *deployment) put(tb testing.TB, url string, body []byte) {
	tb.Helper()
	r, err := http.NewRequestWithContext(tb.Context(), http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	resp, err := d.client.Do(r)
	if err != nil {
		tb.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		tb.Fatalf("PUT %s: status %d", url, resp.StatusCode)
	}
}

// setFaults sets the faults that an emulator injects.
func (d *deployment) setFaults(tb testing.TB, c *child, faults emulator.Faults) {
	tb.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		tb.Fatal(err)
	}
	d.put(tb, c.url+"/faults", body)
}

// putVersion uploads weights generated from a seed to the origin and returns the
// digest of their manifest.
func (d *deployment) putVersion(tb testing.TB, version string, seed uint64) gooseberrypass.Digest {
	tb.Helper()
	weights := emulator.MakeWeights(seed, weightsSize)
	manifest, err := emulator.MakeManifest("jingle-writer", version, gooseberrypass.Digest{}, weights, chunkSize)
	if err != nil {
		tb.Fatal(err)
	}
	url := d.origin.url + "/models/jingle-writer/versions/" + version
	d.put(tb, url+"/weights", weights)
	d.put(tb, url+"/manifest", manifest.Encoded())
	return manifest.Digest()
}

func (d *deployment) writeFolder(tb testing.TB) {
	tb.Helper()
	d.folder = filepath.Join(d.dir, "folder")
	d.write(tb, "folder/10-system.ini", "[system]\norigin-region = centro\n")
	d.write(tb, "folder/30-services.ini", `[service licensing]
pool = licences
repeatable-calls = lookup
unrepeatable-calls = charge
`)
	d.write(tb, "folder/40-accounts.ini", "[client-account radio-norte]\ninventory-name = ACC-0001\n")
}

// publish writes the model's version to the folder and publishes it.
func (d *deployment) publish(tb testing.TB, version, keys string) {
	tb.Helper()
	d.write(tb, "folder/20-models.ini", fmt.Sprintf(`[model jingle-writer]
inventory-name = MDL-0042
path-name = /fonoteca/scripts/jingle-writer
pool = writers
version = %s
%s
`, version, keys))
	cmd := exec.CommandContext(tb.Context(), d.program, "publish", d.folder,
		"--log", d.log.url, "--origin", d.origin.url, "--shared-key-file", filepath.Join(d.dir, "key"))
	if out, err := cmd.CombinedOutput(); err != nil {
		tb.Fatalf("publish: %v\n%s", err, out)
	}
}

// engineState returns the state of the i-th engine.
func (d *deployment) engineState(tb testing.TB, i int) (gooseberrypass.EngineState, error) {
	tb.Helper()
	return connector.NewEngine(d.client, d.engines[i].url).State(tb.Context())
}

// awaitEngine waits until the i-th engine serves a version and nothing else.
func (d *deployment) awaitEngine(tb testing.TB, i int, digest gooseberrypass.Digest) {
	tb.Helper()
	await(tb, fmt.Sprintf("engine %d to load %s", i, digest.Short()), func() error {
		state, err := d.engineState(tb, i)
		if err != nil {
			return err
		}
		if len(state.Loaded) != 1 || state.Loaded[0].Digest != digest {
			return errors.Errorf("loaded %+v", state.Loaded)
		}
		return nil
	})
}

// awaitLoaded waits until every engine serves a version and nothing else.
func (d *deployment) awaitLoaded(tb testing.TB, digest gooseberrypass.Digest) {
	tb.Helper()
	for i := range d.engines {
		d.awaitEngine(tb, i, digest)
	}
}

// runningEngine waits until an engine runs a request and returns its index.
func (d *deployment) runningEngine(tb testing.TB) int {
	tb.Helper()
	found := -1
	await(tb, "an engine to run the request", func() error {
		for i := range d.engines {
			if state, err := d.engineState(tb, i); err == nil && state.Load.Running > 0 {
				found = i
				return nil
			}
		}
		return errors.New("none does")
	})
	return found
}

// countRuns returns the number of runs with a key that the plain service recorded.
func (d *deployment) countRuns(tb testing.TB, key string) int {
	tb.Helper()
	resp, err := d.client.Get(d.service.url + "/runs?key=" + key)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var runs []emulator.CallRun
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		tb.Fatal(err)
	}
	return len(runs)
}

// A reply is the answer to a caller's request. Failures have a reason.
type reply struct {
	Body    []byte `json:"body"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Text    string `json:"text"`
	Weights string `json:"weights"`
}

// post sends a caller's request to an entry.
func (d *deployment) post(ctx context.Context, entry *child, path, key string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.callersURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Client-Account", "radio-norte")
	r.Header.Set("Content-Type", "application/json")
	if strings.HasPrefix(path, "/v1/services/") {
		r.Header.Set("Content-Type", "application/octet-stream")
	}
	if key != "" {
		r.Header["Idempotency-Key"] = []string{key}
	}
	return d.client.Do(r)
}

func (d *deployment) reply(ctx context.Context, entry *child, path, key string, body []byte) (reply, error) {
	resp, err := d.post(ctx, entry, path, key, body)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer reply
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, errors.Wrapf(err, "status %d", resp.StatusCode)
}

func generateBody(model, prompt string, n int, stream bool) []byte {
	body, _ := json.Marshal(map[string]any{"max_tokens": n, "model": model, "prompt": prompt, "stream": stream})
	return body
}

// generate requests an answer that is not streamed.
func (d *deployment) generate(ctx context.Context, entry *child, model, prompt string, n int) (reply, error) {
	return d.reply(ctx, entry, "/v1/generate", "", generateBody(model, prompt, n, false))
}

// call calls the licensing service.
func (d *deployment) call(ctx context.Context, entry *child, call, key string) (reply, error) {
	return d.reply(ctx, entry, "/v1/services/licensing/calls/"+call, key, []byte("grant"))
}

func newKey(tb testing.TB) string {
	tb.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		tb.Fatal(err)
	}
	return key.String()
}

// checkText returns an error if an answer is not the complete text of one of the
// versions.
func (r reply) checkText(prompt string, n int, versions ...gooseberrypass.Digest) error {
	if r.Outcome != "answered" {
		return errors.Errorf("%s (%s): %s", r.Outcome, r.Reason, r.Detail)
	}
	for _, digest := range versions {
		if r.Weights == digest.String() && r.Text == emulator.GeneratedText(digest, prompt, n) {
			return nil
		}
	}
	return errors.Errorf("text %q of %s is not that of the wanted versions", r.Text, r.Weights)
}

// awaitAnswer waits until an entry returns a complete answer of a version.
func (d *deployment) awaitAnswer(tb testing.TB, entry *child, model string, digest gooseberrypass.Digest) {
	tb.Helper()
	await(tb, entry.name+" to answer for "+model, func() error {
		answer, err := d.generate(tb.Context(), entry, model, "noon", 8)
		if err != nil {
			return err
		}
		return answer.checkText("noon", 8, digest)
	})
}

// A tokenStream reads a streamed answer as server-sent events.
type tokenStream struct {
	events *bufio.Scanner
	reply  reply
}

// openStream requests a streamed answer and reads its first piece of text.
func (d *deployment) openStream(tb testing.TB, entry *child, prompt string, n int) *tokenStream {
	tb.Helper()
	resp, err := d.post(tb.Context(), entry, "/v1/generate", "", generateBody("jingle-writer", prompt, n, true))
	if err != nil {
		tb.Fatal(err)
	}
	d.t.Cleanup(func() { _ = resp.Body.Close() })
	s := &tokenStream{events: bufio.NewScanner(resp.Body)}
	for s.reply.Text == "" {
		if event := s.next(tb); event != "start" && event != "piece" {
			tb.Fatalf("got event %q before the first piece: %+v", event, s.reply)
		}
	}
	return s
}

// next reads one event and returns its name, "" at the end.
func (s *tokenStream) next(tb testing.TB) string {
	tb.Helper()
	name := ""
	for s.events.Scan() {
		line := s.events.Text()
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			name = event
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			text := s.reply.Text
			s.reply.Text = ""
			if err := json.Unmarshal([]byte(data), &s.reply); err != nil {
				tb.Fatalf("event %s: %v", name, err)
			}
			s.reply.Text = text + s.reply.Text
			return name
		}
	}
	return ""
}

// readToEnd reads the stream to its end and returns the name of its last event.
func (s *tokenStream) readToEnd(tb testing.TB) string {
	tb.Helper()
	last := ""
	for event := s.next(tb); event != ""; event = s.next(tb) {
		last = event
	}
	return last
}
