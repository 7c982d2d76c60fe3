//go:build review

package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployment, as the site files have them.
const (
	configApply  = 2 * time.Second
	drainTime    = 2 * time.Second
	grace        = 8 * time.Second
	heartbeat    = 1200 * time.Millisecond
	memoryMB     = 284
	maxFiles     = 4100 // file descriptors of a gateway
	restartDelay = 300 * time.Millisecond
	stableWindow = 3 * time.Second
)

// The addresses on the hosts of a stage.
const (
	callersPort = "8005"
	firstHost   = 10 // of the gateways
	readyPort   = "8002"
	storeHost   = 2
	workerHost  = 60 // of the first worker
	workerPort  = "8740"
)

// A stage is a small deployment on loopback addresses of its own.
type stage struct {
	dir     string
	network string // first three bytes of the addresses
	record  *record
	root    string
	store   *store
	trouble bool

	mu       sync.Mutex
	closed   bool
	gateways []*process
	ids      int
	workers  []*worker
}

func newStage(root string, rec *record, trouble bool) (*stage, error) {
	if _, err := os.Stat(filepath.Join(root, "target", "gooseberrypass")); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	s := &stage{dir: dir, record: rec, root: root, trouble: trouble}
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), 1+rand.IntN(250))
		if s.store, err = newStore(s.address(storeHost, "8007")); err == nil {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	rec.note("addresses %s.*, disruption %t", s.network, trouble)
	return s, nil
}

func (s *stage) address(host int, port string) string {
	return net.JoinHostPort(s.network+"."+strconv.Itoa(host), port)
}

// nextID returns a new attempt id.
func (s *stage) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), s.ids)
}

// close ends all processes and servers.
func (s *stage) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	gateways, workers := s.gateways, s.workers
	s.mu.Unlock()
	for _, p := range gateways {
		p.kill()
	}
	for _, w := range workers {
		w.stop()
	}
	s.store.close()
	_ = os.RemoveAll(s.dir)
}

// settings fills in the template of the deploy file for a gateway.
func (s *stage) settings(number int) (string, error) {
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "gateway.ini"))
	if err != nil {
		return "", err
	}
	text := strings.NewReplacer(
		"{{#Zones}}{{@}}={{.}}{{,}}{{/Zones}}", "zone-a=region-a",
		"{{Bounds.GraceS}}", strconv.Itoa(int(grace.Seconds())),
		"{{Bounds.RetryRatio}}", "0.2", "{{Bounds.RetrySlack}}", "100", "{{Bounds.RetryWindowS}}", "10",
		"{{Bounds.StableWindowMs}}", strconv.Itoa(int(stableWindow.Milliseconds())), "{{Bounds.version_ms}}", "8000",
		"{{HeartbeatMs}}", strconv.Itoa(int(heartbeat.Milliseconds())),
		"{{InternalPorts.0}}", "7700", "{{Ip}}", s.network+"."+strconv.Itoa(firstHost+number),
		"{{Limits.MaxFds}}", strconv.Itoa(maxFiles),
		"{{Limits.MemoryMb}}", strconv.Itoa(memoryMB),
		"{{Listen.Frontend}}", s.address(firstHost+number, callersPort), "{{Listen.Ready}}", s.address(firstHost+number, readyPort),
		"{{NodeName}}", fmt.Sprintf("edge-zone-a-%d", number+1), "{{Platform.Address}}", s.address(storeHost, "8007"),
		"{{Region}}", "region-a", "{{Zone}}", "zone-a",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("template has an unknown placeholder: %s", text)
	}
	return text, nil
}

// startGateways starts the gateways of the deployment.
func (s *stage) startGateways(count int) error {
	for i := range count {
		text, err := s.settings(i)
		if err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		path := filepath.Join(s.dir, fmt.Sprintf("gateway-%d.ini", i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		p := &process{name: fmt.Sprintf("gateway-%d", i), number: i, settings: path, stage: s}
		if p.log, err = os.Create(filepath.Join(s.dir, p.name+".log")); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		s.mu.Lock()
		s.gateways = append(s.gateways, p)
		s.mu.Unlock()
		if err := p.start(); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	return nil
}

// awaitReady waits until all gateways say that they are ready.
func (s *stage) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range s.gateways {
		for !p.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errNotRun, p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// A process is a gateway.
type process struct {
	log      *os.File
	name     string
	number   int
	settings string
	stage    *stage

	mu        sync.Mutex
	cmd       *exec.Cmd
	disturbed time.Time // last start or signal
	done      chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(p.stage.root, "target", "gooseberrypass"), "gateway")
	cmd.Dir = p.stage.root
	cmd.Env = append(os.Environ(), "GOOSEBERRYPASS_SETTINGS="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.disturbed, p.done = cmd, time.Now(), make(chan struct{})
	p.stage.record.note("%s started", p.name)
	go func(done chan struct{}) {
		err := cmd.Wait()
		p.stage.record.note("%s ended: %v", p.name, err)
		close(done)
	}(p.done)
	return nil
}

// signal sends a signal and returns the channel that is closed when the process has ended.
func (p *process) signal(sig syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
	p.stage.record.note("%s gets signal %d", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
	return p.done
}

func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// restart stops the process as the platform does, SIGTERM and SIGKILL after the grace
// period, and starts it again.
func (p *process) restart() error {
	done := p.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		<-p.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay)
	return p.start()
}

// inTouch reports whether the process has run without a disruption for the stable window.
func (p *process) inTouch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		return time.Since(p.disturbed) >= stableWindow
	}
}

// callers returns the address for callers.
func (p *process) callers() string { return p.stage.address(firstHost+p.number, callersPort) }

// ready asks the process as the platform does.
func (p *process) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.stage.address(firstHost+p.number, readyPort)+"/v1/readyz", http.NoBody)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// A route is a route of the configuration.
type route struct {
	attempts int
	kind     string
	objectMs int
	service  string // "" for plainName
	timeout  time.Duration
}

const (
	host        = "voka93.example"
	maxBody     = 4194304
	plainName   = "ububiko"
	workerConns = 96
)

// configuration returns a configuration with the plain services of the routes. tenants maps
// names to keys.
func configuration(version int, routes map[string]route, tenants map[string][]string) map[string]any {
	var list, accounts, services []any
	known := map[string]bool{}
	for name, r := range routes {
		service := cmp.Or(r.service, plainName)
		if !known[service] {
			known[service] = true
			services = append(services, map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConns": workerConns, "Protocol": "h1", "Tls": false})
		}
		list = append(list, map[string]any{
			"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "RouteKind": r.kind, "TimeoutMs": r.timeout.Milliseconds(),
			"SloMs": r.objectMs, "Priority": 2, "Service": service, "MaxAttempts": r.attempts, "Public": false,
		})
	}
	for name, keys := range tenants {
		accounts = append(accounts, map[string]any{"Name": name, "ApiKeys": keys})
	}
	return map[string]any{
		"Version": version, "Routes": list, "Tenants": accounts,
		"Services": services,
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBody, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// publish writes a configuration as the operator does, and returns when the store has
// acknowledged it.
func (s *stage) publish(doc map[string]any) time.Time {
	at := s.store.putJSON("keyed.op", "config", doc)
	s.record.note("configuration %v acknowledged", doc["Version"])
	return at
}
