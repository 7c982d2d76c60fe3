//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// A request is one attempt of a client.
type request struct {
	body    string
	key     string // "" for none
	limit   time.Duration
	method  string
	path    string
	rate    int // bytes of the body a second, 0 for no limit
	address string
}

// An outcome is what the client saw of an attempt.
type outcome struct {
	body   string
	err    error // set if no complete answer was received
	id     string
	seal   string
	sent   time.Time
	status int
}

// uploadStep is the interval of the parts of a body that is sent at a rate.
const uploadStep = 20 * time.Millisecond

// send sends an attempt over a new connection and reads the answer.
func (s *stage) send(q request) outcome {
	o := outcome{id: s.nextID(), sent: time.Now()}
	s.record.note("client sends %s to %s: %s %s, %d bytes, key %q", o.id, q.address, q.method, q.path, len(q.body), q.key)
	o.exchange(q)
	switch {
	case o.err != nil && o.status > 0:
		s.record.note("client got %s: %d, %d bytes, then broken off: %v", o.id, o.status, len(o.body), o.err)
	case o.err != nil:
		s.record.note("client got %s: no answer: %v", o.id, o.err)
	default:
		s.record.note("client got %s: %d, %d bytes, seal %q", o.id, o.status, len(o.body), o.seal)
	}
	return o
}

func (o *outcome) exchange(q request) {
	conn, err := net.DialTimeout("tcp", q.address, time.Second)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.limit))
	head := q.method + " " + q.path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + o.id + "\r\nX-Deadline-Ms: " + strconv.FormatInt(q.limit.Milliseconds(), 10) + "\r\n"
	if q.key != "" {
		head += "Authorization: Token " + q.key + "\r\n"
	}
	if q.method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	if _, o.err = io.WriteString(conn, head+"\r\n"); o.err != nil {
		return
	}
	if o.err = upload(conn, q.body, q.rate); o.err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.status, o.seal = resp.StatusCode, resp.Header.Get("X-Server-Seal")
	body, err := io.ReadAll(resp.Body)
	o.body, o.err = string(body), err
	if id := resp.Header.Get("X-Attempt-Id"); err == nil && id != "" && id != o.id {
		o.err = fmt.Errorf("answer to %s", id)
	}
}

// upload writes a body at a rate.
func upload(conn io.Writer, body string, rate int) error {
	if rate == 0 {
		_, err := io.WriteString(conn, body)
		return err
	}
	step := max(int(float64(rate)*uploadStep.Seconds()), 1)
	for begun := time.Now(); len(body) > 0; {
		n := min(step, len(body))
		if _, err := io.WriteString(conn, body[:n]); err != nil {
			return err
		}
		body = body[n:]
		begun = begun.Add(uploadStep)
		time.Sleep(time.Until(begun))
	}
	return nil
}
