//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A keyedTopic is a keyed topic of the store. Nothing expires within a case.
type keyedTopic struct {
	changed chan struct{} // closed and replaced at each append
	newest  map[string]int
	records []storeRecord
}

type storeRecord struct {
	key   string
	value []byte // nil deletes the key
}

// A store is the platform's store. It is sound unless lost says otherwise.
type store struct {
	address string

	mu     sync.Mutex
	lost   func(caller, topic string, records int) bool // whether the answer to a read is lost, nil for never
	topics map[string]*keyedTopic
}

// startStore starts a store on a free port of an address.
func startStore(ip string) (*store, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: lis.Addr().String(), topics: map[string]*keyedTopic{}}
	go func() { _ = http.Serve(lis, s) }()
	return s, nil
}

func (s *store) topic(name string) *keyedTopic {
	t := s.topics[name]
	if t == nil {
		t = &keyedTopic{changed: make(chan struct{}), newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record and returns its offset.
func (s *store) put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	offset := len(t.records)
	t.newest[key] = offset
	t.records = append(t.records, storeRecord{key: key, value: value})
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

func (s *store) putJSON(topic, key string, doc any) {
	body, _ := json.Marshal(doc)
	s.put(topic, key, body)
}

// setLost sets which answers to reads are lost.
func (s *store) setLost(lost func(caller, topic string, records int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r)
	case "/v1/log-read":
		s.read(w, r)
	case "/v1/log-newest":
		s.readNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	topic, n := r.URL.Query().Get("Topic"), int(body[4])
	key, value := string(body[5:5+n]), body[5+n:]
	if len(value) == 0 {
		value = nil
	}
	offset := s.put(topic, key, value)
	_ = json.NewEncoder(w).Encode(map[string]int{"Offset": offset, "End": offset + 1})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := wait == 0; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("Topic"))
		end, changed, lost := len(t.records), t.changed, s.lost
		var records []storeRecord
		if from < end {
			records = t.records[from:end:end]
		}
		s.mu.Unlock()
		if from > end {
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"First":0}`)
			return
		}
		if len(records) > 0 || timedOut {
			if lost != nil && lost(r.RemoteAddr, r.URL.Query().Get("Topic"), len(records)) {
				<-r.Context().Done() // the connection returns nothing further
				panic(http.ErrAbortHandler)
			}
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range records {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
				body = append(body, byte(len(rec.key)))
				body = append(append(body, rec.key...), rec.value...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timer.C:
			timedOut = true
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Offset int
		Value  string
	}
	items := []item{}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	for key, offset := range t.newest {
		if v := t.records[offset].value; v != nil && key > r.URL.Query().Get("After") {
			items = append(items, item{Key: key, Offset: offset, Value: base64.StdEncoding.EncodeToString(v)})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": items, "MorePages": false, "End": end})
}
