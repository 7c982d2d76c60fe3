//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serve serves a handler on a free loopback port and returns its address.
func serve(handler http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(lis, handler) }()
	return lis.Addr().String(), nil
}

// Ports are taken from below those that the kernel gives to outgoing connections, so that none
// is taken between the check and the start of a process.
const (
	firstPort = 20000
	lastPort  = 32000
)

// nextPort is the port that is tried next.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range lastPort - firstPort {
		if len(addresses) == n {
			return addresses, nil
		}
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		if address := fmt.Sprintf("127.0.0.1:%d", nextPort); isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return nil, errors.New("no free ports")
}

// isFree reports whether an address is free for TCP and UDP.
func isFree(address string) bool {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = lis.Close() }()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}

const boundsText = `
[bounds]
grace = 8s
heartbeat = 1200ms
retry-ratio = 0.2
retry-slack = 104
retry-window = 10s
stable = 3000ms
version = 8000ms
`

// A process is one process under test. It keeps its settings from start to start.
type process struct {
	command  string
	log      *os.File
	name     string
	settings string // path

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when cmd has ended
}

// started are the processes that may run, to be ended with this program.
var started struct {
	mu        sync.Mutex
	processes []*process
	stopping  bool
}

// endWithSignals ends all processes and this program when it is told to stop.
func endWithSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		started.mu.Lock()
		started.stopping = true
		processes := started.processes
		started.mu.Unlock()
		for _, p := range processes {
			p.kill()
		}
		os.Exit(exitNotRun)
	}()
}

func newProcess(dir, name, command, settings string) (*process, error) {
	p := &process{command: command, name: name, settings: filepath.Join(dir, name+".ini")}
	started.mu.Lock()
	started.processes = append(started.processes, p)
	started.mu.Unlock()
	if err := os.WriteFile(p.settings, []byte(settings+boundsText), 0o600); err != nil {
		return nil, err
	}
	var err error
	p.log, err = os.Create(filepath.Join(dir, name+".log"))
	return p, err
}

func (p *process) start() error {
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.stopping {
		return errors.New("stopping")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(*program, p.command)
	cmd.Env = append(os.Environ(), "GOOSEBERRYPASS_SETTINGS="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

func (p *process) hasEnded() bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// memory returns the resident memory of the process, in bytes.
func (p *process) memory() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kib << 10
		}
	}
	return 0
}

// isReady reports whether a gateway says that it takes callers.
func isReady(address string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds, or returns false after a while.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// A gateway is a gateway process and its addresses.
type gateway struct {
	*process
	callers, ready string
}

// newGateway returns a gateway of a zone that has not started.
func newGateway(dir, name, zone, regions, storeAddress string, memoryMiB int) (*gateway, error) {
	a, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	p, err := newProcess(dir, name, "gateway", fmt.Sprintf("[machine]\ncallers-listen = %s\nfailure-domain = %s\ninstance = %s\nlisten = %s\nmax-files = +4100\nmemory = %dMiB\nmetrics-listen = %s\nready-listen = %s\nregion = %s\nregions = %s\nstore = %s\n",
		a[0], zone, name, a[1], memoryMiB, a[2], a[3], regionOf(zone), regions, storeAddress))
	return &gateway{process: p, callers: a[0], ready: a[3]}, err
}

// newSidecar returns a sidecar of an engine that has not started.
func newSidecar(dir, name, zone, regions, storeAddress, engineAddress, service string) (*process, error) {
	a, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	return newProcess(dir, name, "sidecar", fmt.Sprintf("[machine]\nengine = %s\nfailure-domain = %s\ninstance = %s\nlink = 7.3\nlisten = %s\nmemory = 152MiB\nmetrics-listen = %s\nregion = %s\nregions = %s\nservice = %s\nstore = %s\n",
		engineAddress, zone, name, a[0], a[1], regionOf(zone), regions, service, storeAddress))
}

// regionOf returns the region of a zone.
func regionOf(zone string) string { return "region-" + strings.TrimPrefix(zone, "zone-") }
