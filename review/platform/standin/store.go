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

// storeAnswerTime is the time that the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// maxPage is the number of records on a page of the newest ones.
const maxPage = 500

type storeRecord struct {
	key   string
	value []byte
}

// A storeTopic is a keyed topic with one partition.
type storeTopic struct {
	changed chan struct{} // closed and replaced at every append
	newest  map[string]int
	records []storeRecord
}

// A store is the platform's store, as far as the programs call it here.
type store struct {
	mu     sync.Mutex
	server *http.Server
	topics map[string]*storeTopic
}

func newStore(address string) (*store, error) {
	s := &store{topics: map[string]*storeTopic{}}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(lis) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// topic returns a topic. The caller holds mu.
func (s *store) topic(name string) *storeTopic {
	t, ok := s.topics[name]
	if !ok {
		t = &storeTopic{changed: make(chan struct{}), newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record; an empty value deletes the key. It returns when the store has
// acknowledged it.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.newest[key] = len(t.records)
	t.records = append(t.records, storeRecord{key: key, value: value})
	close(t.changed)
	t.changed = make(chan struct{})
	return time.Now()
}

func (s *store) putJSON(topic, key string, doc any) time.Time {
	body, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return s.put(topic, key, body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	w.Header().Set("Store-Era", "1")
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r)
	case "/v1/log-read":
		s.serveRead(w, r)
	case "/v1/log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("Topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := int(body[4])
	s.put(topic, string(body[5:5+n]), body[5+n:])
	s.mu.Lock()
	end := len(s.topic(topic).records)
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"Offset": end - 1, "End": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for waiting := ms > 0; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("Topic"))
		end, changed := len(t.records), t.changed
		var records []storeRecord
		if from < end {
			records = t.records[from:end]
		}
		s.mu.Unlock()
		if from > end {
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"First":0}`)
			return
		}
		if len(records) > 0 || !waiting {
			_, _ = w.Write(encodeRecords(end, records))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timeout.C:
			waiting = false
		}
	}
}

func encodeRecords(end int, records []storeRecord) []byte {
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

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Offset int
		Value  string
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	items := []item{}
	for key, offset := range t.newest {
		if v := t.records[offset].value; len(v) > 0 && key > r.URL.Query().Get("After") {
			items = append(items, item{Key: key, Offset: offset, Value: base64.StdEncoding.EncodeToString(v)})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > maxPage
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": items[:min(len(items), maxPage)], "MorePages": more, "End": end})
}
