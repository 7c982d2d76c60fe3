//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A play is one run of a case.
type play struct {
	broken  []string // findings, in the order in which they were made
	dir     string
	mu      sync.Mutex
	network string // first three numbers of the loopback addresses of this run
	procs   []*process
	record  *os.File
	started time.Time
	trouble bool
}

// newPlay returns a play that writes to a record. It is never nil.
func newPlay(record string, trouble bool) (*play, error) {
	p := &play{started: time.Now(), trouble: trouble}
	n := os.Getpid()
	p.network = fmt.Sprintf("127.%d.%d", 30+n/250%200, 1+n%250)
	var err error
	if p.record, err = os.Create(record); err != nil {
		return p, err
	}
	p.dir, err = os.MkdirTemp("", "third-review-")
	p.note("trouble: %v", trouble)
	return p, err
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.record != nil {
		fmt.Fprintf(p.record, "%8.3f s  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// breaks records that a rule was broken.
func (p *play) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.note("BROKEN: %s", text)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, text)
}

// ip returns the loopback address of a machine.
func (p *play) ip(machine int) string { return p.network + "." + strconv.Itoa(machine) }

// freePort returns a port that is free at an address.
func freePort(ip string) (string, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer lis.Close()
	return lis.Addr().String(), nil
}

// A process is a program of the project.
type process struct {
	cmd      *exec.Cmd
	done     chan struct{}
	expected bool
	name     string
	play     *play
	role     string
	settings string
	log      string
}

// start writes the settings of a process and starts it.
func (p *play) start(name, role, settings string) (*process, error) {
	proc := &process{name: name, play: p, role: role, settings: filepath.Join(p.dir, name+".ini"), log: filepath.Join(p.dir, name+".log")}
	if err := os.WriteFile(proc.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if err := proc.run(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.procs = append(p.procs, proc)
	return proc, nil
}

func (x *process) run() error {
	log, err := os.OpenFile(x.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/gooseberrypass", x.role)
	cmd.Env = append(os.Environ(), "GOOSEBERRYPASS_SETTINGS="+x.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	x.cmd, x.done, x.expected = cmd, make(chan struct{}), false
	x.play.note("process %s starts", x.name)
	done := x.done
	go func() {
		err := cmd.Wait()
		x.play.note("process %s has ended (%v)", x.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (x *process) signal(s syscall.Signal) {
	x.play.note("%s to %s", s, x.name)
	x.expected = x.expected || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = x.cmd.Process.Signal(s)
}

// ended reports whether the process has ended.
func (x *process) ended() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}

// memory returns the resident memory of the process now and its largest so far, in bytes.
func (x *process) memory() (now, peak int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kib << 10
		case "VmHWM:":
			peak = kib << 10
		}
	}
	return now, peak
}

func mib(n int) float64 { return float64(n) / (1 << 20) }

// close ends the processes.
func (p *play) close() {
	p.mu.Lock()
	procs := slices.Clone(p.procs)
	p.mu.Unlock()
	for _, x := range procs {
		if x.cmd != nil && !x.ended() {
			_ = x.cmd.Process.Kill()
			<-x.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(p.dir))
	}
	if p.dir != "" {
		_ = os.RemoveAll(p.dir)
	}
}

// unread returns the bytes that a TCP address has received and not read yet, and the number
// of its connections.
func unread(address string) (bytes, conns int) {
	host, port, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	n, _ := strconv.Atoi(port)
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], n)
	text, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != want || fields[3] != "01" && fields[3] != "08" {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		held, _ := strconv.ParseInt(rx, 16, 64)
		bytes, conns = bytes+int(held), conns+1
	}
	return bytes, conns
}
