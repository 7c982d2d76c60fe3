//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// workSlots and workQueue are the requests that a worker runs at once and lets wait.
const (
	workQueue = 24
	workSlots = 6
)

// A run is the run of a request at a worker.
type run struct {
	at     time.Time
	body   int // bytes
	id     string
	key    string // Authorization header
	method string
	tenant string
	uri    string
	worker string
}

// A runLog has all runs by attempt id.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// A worker is a plain worker that registers itself in the store.
type worker struct {
	address string
	log     *runLog
	number  int
	service string // "" for plainName
	stage   *stage
	slots   int
	queue   int

	// answer writes the answer of a run to c. It returns false if the connection is to be
	// closed.
	answer func(w *worker, c *workerConn, r *http.Request, body []byte) bool
	// refused is called after a refusal was written, if it is set.
	refused func(w *worker, c *workerConn, refusal string)
	// work is the time that a request takes.
	work func() time.Duration

	mu       sync.Mutex
	conns    map[*workerConn]struct{}
	id       string // of this incarnation
	born     int64
	lis      net.Listener
	running  int
	seq      int
	starts   int
	stopped  bool
	up       bool
	waiting  int
	released chan struct{}
}

// A workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	extra  []byte // written when the next request has arrived
	reader *bufio.Reader
}

// newWorker starts the worker with a number.
func (s *stage) newWorker(number int, log *runLog, w *worker) (*worker, error) {
	w.address, w.log, w.number, w.stage = s.address(workerHost+number, workerPort), log, number, s
	if w.slots == 0 {
		w.slots, w.queue = workSlots, workQueue
	}
	w.conns, w.released = map[*workerConn]struct{}{}, make(chan struct{}, 1)
	if err := w.start(); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	go w.beat()
	return w, nil
}

// start begins a new incarnation.
func (w *worker) start() error {
	lis, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.starts++
	w.id, w.born, w.lis, w.seq, w.up = fmt.Sprintf("i-%s-%d", w.address[len(w.stage.network)+1:len(w.address)-len(workerPort)-1], w.starts), time.Now().UnixMilli(), lis, 0, true
	w.running, w.waiting = 0, 0
	id := w.id
	w.mu.Unlock()
	w.stage.record.note("worker %s starts", id)
	w.register()
	go w.accept(lis)
	return nil
}

func (w *worker) identity() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// register writes the entry of the worker.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.seq++
	w.stage.store.putJSON("keyed.servers", w.id, map[string]any{
		"Service": cmp.Or(w.service, plainName), "Address": w.address, "Zone": "zone-a", "Version": "v1", "Slots": w.slots, "State": "ready", "ColdLeftMs": 0, "Seq": w.seq, "born": w.born,
	})
}

func (w *worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		if stopped {
			return
		}
		w.register()
	}
}

// crash ends the incarnation with a reset of its connections, and starts the next one after
// a while. The entry of the old one is removed after three heartbeats.
func (w *worker) crash(away time.Duration) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	id := w.id
	w.down()
	w.mu.Unlock()
	w.stage.record.note("worker %s crashes", id)
	time.AfterFunc(3*heartbeat, func() { w.stage.store.put("keyed.servers", id, nil) })
	time.AfterFunc(away, func() {
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		if !stopped {
			_ = w.start()
		}
	})
}

// down closes the listener and resets the connections. The caller holds mu.
func (w *worker) down() {
	w.up = false
	_ = w.lis.Close()
	for c := range w.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		delete(w.conns, c)
	}
}

func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.up {
		w.down()
	}
}

func (w *worker) accept(lis net.Listener) {
	for {
		raw, err := lis.Accept()
		if err != nil {
			return
		}
		c := &workerConn{Conn: raw, reader: bufio.NewReader(raw)}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *worker) serve(c *workerConn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if len(c.extra) > 0 {
			if _, err := c.Write(c.extra); err != nil {
				return
			}
			c.extra = nil
		}
		if !w.handle(c, r, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection is kept.
func (w *worker) handle(c *workerConn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Attempt-Id")
	self := w.identity()
	if r.URL.Path == "/healthz" {
		return writeHead(c, 200, map[string]string{"X-Instance-Id": self}, "")
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != self {
		return writeHead(c, 421, map[string]string{"X-Attempt-Id": id, "X-Instance-Id": self}, "")
	}
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	began := time.Now()
	w.stage.record.note("worker %s receives %s", self, id)
	if !w.admit(began.Add(limit)) {
		w.stage.record.note("worker %s refuses %s", self, id)
		refusal := response(503, map[string]string{"X-Attempt-Id": id, "X-Not-Executed": "1", "X-Server-Load": w.load()}, "full")
		if _, err := io.WriteString(c, refusal); err != nil {
			return false
		}
		if w.refused != nil {
			w.refused(w, c, refusal)
		}
		return true
	}
	defer w.release()
	w.log.add(run{at: time.Now(), body: len(body), id: id, key: r.Header.Get("Authorization"), method: r.Method, tenant: r.Header.Get("X-Tenant"), uri: r.RequestURI, worker: self})
	w.stage.record.note("worker %s runs %s: %s %s, %d bytes, tenant %q", self, id, r.Method, r.RequestURI, len(body), r.Header.Get("X-Tenant"))
	if w.work != nil {
		time.Sleep(w.work())
	}
	return w.answer(w, c, r, body)
}

// load returns the value of X-Server-Load.
func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.slots)
}

// admit waits for a slot and reports whether there was one.
func (w *worker) admit(until time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running < w.slots {
		w.running++
		return true
	}
	if w.waiting >= w.queue {
		return false
	}
	w.waiting++
	defer func() { w.waiting-- }()
	for w.running >= w.slots {
		if time.Now().After(until) {
			return false
		}
		w.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
	}
	w.running++
	return true
}

func (w *worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = max(w.running-1, 0)
}

// seal returns the signature of a worker's answer to an attempt.
func seal(worker, id string) string { return "seal." + worker + "." + id }

// response returns an answer with a length.
func response(status int, headers map[string]string, body string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range headers {
		text += name + ": " + value + "\r\n"
	}
	return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func writeHead(c net.Conn, status int, headers map[string]string, body string) bool {
	_, err := io.WriteString(c, response(status, headers, body))
	return err == nil
}

// answerBody is the body of an answer of about 800 bytes.
func answerBody(worker, id string) string {
	return fmt.Sprintf("answer of %s to %s %0760d", worker, id, 0)
}

// answerShort writes a whole answer with a length.
func answerShort(w *worker, c *workerConn, r *http.Request, _ []byte) bool {
	id, self := r.Header.Get("X-Attempt-Id"), w.identity()
	w.stage.record.note("worker %s answers %s", self, id)
	return writeHead(c, 200, map[string]string{"X-Attempt-Id": id, "X-Server-Load": w.load(), "X-Server-Seal": seal(self, id)}, answerBody(self, id))
}
