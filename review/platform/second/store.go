//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// A record is one entry of a keyed topic. A nil value is a tombstone.
type record struct {
	key   string
	value []byte
}

// A topic is a keyed topic with one partition.
type topic struct {
	changed chan struct{} // closed and replaced by each append
	newest  map[string]int
	records []record
}

// A store is a stand-in of the platform's store. It is sound: it keeps everything and answers
// every call.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{changed: make(chan struct{}), newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record and returns its offset.
func (s *store) put(name, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	at := len(t.records)
	t.newest[key] = at
	t.records = append(t.records, record{key: key, value: value})
	close(t.changed)
	t.changed = make(chan struct{})
	return at
}

// putJSON appends a document.
func (s *store) putJSON(name, key string, doc any) {
	body, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	s.put(name, key, body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	name := r.URL.Query().Get("Topic")
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, name)
	case "/v1/log-read":
		s.serveRead(w, r, name)
	case "/v1/log-newest":
		s.serveNewest(w, r, name)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		http.Error(w, "no record", http.StatusBadRequest)
		return
	}
	n := int(body[4])
	key, value := string(body[5:5+n]), body[5+n:]
	if len(value) == 0 {
		value = nil
	}
	at := s.put(name, key, value)
	_ = json.NewEncoder(w).Encode(map[string]int{"Offset": at, "End": at + 1})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, changed := len(t.records), t.changed
		var found []record
		if from < end {
			found = t.records[from:end]
		}
		s.mu.Unlock()
		if from > end {
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"First":0}`)
			return
		}
		if len(found) > 0 || ms == 0 {
			_, _ = w.Write(encodeRecords(end, found))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timeout:
			ms = 0
		}
	}
}

// encodeRecords encodes the answer to a read.
func encodeRecords(end int, records []record) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, r := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(body, byte(len(r.key)))
		body = append(body, r.key...)
		body = append(body, r.value...)
	}
	return body
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	type item struct {
		Key    string
		Offset int
		Value  string
	}
	s.mu.Lock()
	t := s.topic(name)
	items := []item{}
	for key, at := range t.newest {
		if v := t.records[at].value; v != nil && key > r.URL.Query().Get("After") {
			items = append(items, item{Key: key, Offset: at, Value: base64.StdEncoding.EncodeToString(v)})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": items, "MorePages": false, "End": end})
}
