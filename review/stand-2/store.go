package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency    = 4 * time.Millisecond
	maxRecordBytes  = 262144
	maxRequestBytes = 2097152
	maxKeyBytes     = 255
	maxReadBytes    = 512 << 10
	pageRecords     = 500
	pageBytes       = 1 << 20
	repeatedAppends = 5
	// entryLifetime is three heartbeat intervals.
	entryLifetime = 3 * heartbeat
	topicServers  = "keyed.servers"
	topicOperator = "keyed.op"
)

// storeRecord is one record of a keyed topic.
type storeRecord struct {
	offset uint64
	key    string
	value  []byte
}

// topicLog is the only partition of a topic that is used.
type topicLog struct {
	records  []storeRecord
	newest   map[string]storeRecord
	epoch    uint64
	sequence uint64
	answers  map[uint64]appendAnswer // By sequence number.
	appended chan struct{}
}

type appendAnswer struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
}

// store is a stand-in for the platform's store in its form "log".
type store struct {
	mu      sync.Mutex
	topics  map[string]*topicLog
	expires map[string]time.Time // Of executors' entries, by key.

	lateKey   string        // The first append with a key that begins so is late; empty for none.
	lateDelay time.Duration // By so much; it gets no answer.
	lateNote  func(key string)
}

func newStore() *store {
	return &store{topics: map[string]*topicLog{}, expires: map[string]time.Time{}}
}

func (s *store) topic(name string) *topicLog {
	t := s.topics[name]
	if t == nil {
		t = &topicLog{newest: map[string]storeRecord{}, answers: map[uint64]appendAnswer{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// makeLate has one append carried out late and without an answer.
func (s *store) makeLate(keyPrefix string, delay time.Duration, note func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateKey, s.lateDelay, s.lateNote = keyPrefix, delay, note
}

// isLate reports whether an append is to be late, once.
func (s *store) isLate(records []storeRecord) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if s.lateKey != "" && strings.HasPrefix(r.key, s.lateKey) {
			s.lateKey = ""
			s.lateNote(r.key)
			return s.lateDelay, true
		}
	}
	return 0, false
}

// put writes a record as the operator or another writer does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add([]storeRecord{{key: key, value: value}})
}

func (t *topicLog) add(records []storeRecord) {
	for _, r := range records {
		r.offset = uint64(len(t.records))
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	if len(records) > 0 {
		close(t.appended)
		t.appended = make(chan struct{})
	}
}

// expireEntries drops the entries of executors that have been silent for too long.
func (s *store) expireEntries(done <-chan struct{}) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for key, at := range s.expires {
			if time.Now().After(at) {
				delete(s.expires, key)
				s.topic(topicServers).add([]storeRecord{{key: key}})
			}
		}
		s.mu.Unlock()
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	time.Sleep(storeLatency)
	topic := req.URL.Query().Get("topic")
	switch req.URL.Path {
	case "/v1/log-append":
		s.serveAppend(rw, req, topic)
	case "/v1/log-read":
		s.serveRead(rw, req, topic)
	case "/v1/log-newest":
		s.serveNewest(rw, req, topic)
	default:
		http.NotFound(rw, req)
	}
}

func queryNumber(req *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(req.URL.Query().Get(name), 10, 64)
	return n
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// parseRecords decodes the body of an append; ok is false for a malformed one or a
// record that is too large.
func parseRecords(body []byte) (records []storeRecord, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n == 0 || n > len(body) || n > maxRecordBytes {
			return nil, false
		}
		k := int(body[0])
		if 1+k > n {
			return nil, false
		}
		records = append(records, storeRecord{key: string(body[1 : 1+k]), value: slices.Clone(body[1+k : n])})
		body = body[n:]
	}
	return records, true
}

func (s *store) serveAppend(rw http.ResponseWriter, req *http.Request, topic string) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRequestBytes+1))
	if err != nil {
		return
	}
	records, ok := parseRecords(body)
	if !ok || len(body) > maxRequestBytes {
		writeJSON(rw, http.StatusBadRequest, map[string]string{"reason": "size"})
		return
	}
	isExecutor := req.Header.Get(executorHeader) != ""
	if (topic == topicServers || topic == topicOperator) && !isExecutor {
		writeJSON(rw, http.StatusForbidden, map[string]string{"reason": "topic"})
		return
	}
	if delay, ok := s.isLate(records); ok {
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.topic(topic).add(records)
		})
		<-req.Context().Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	epoch, sequence := queryNumber(req, "epoch"), queryNumber(req, "sequence")
	fenced := req.URL.Query().Get("producer") != ""
	if fenced {
		switch {
		case epoch < t.epoch:
			writeJSON(rw, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		case epoch > t.epoch:
			t.epoch = epoch
			clear(t.answers)
		case sequence != t.sequence+1:
			if a, ok := t.answers[sequence]; ok {
				writeJSON(rw, http.StatusOK, a)
				return
			}
			writeJSON(rw, http.StatusConflict, map[string]any{"reason": "seq", "sequence": t.sequence + 1})
			return
		}
		t.sequence = sequence
	}
	answer := appendAnswer{Offset: uint64(len(t.records))}
	t.add(records)
	answer.End = uint64(len(t.records))
	if fenced {
		t.answers[sequence] = answer
		delete(t.answers, sequence-repeatedAppends)
	}
	if topic == topicServers {
		for _, r := range records {
			s.expires[r.key] = time.Now().Add(entryLifetime)
		}
	}
	writeJSON(rw, http.StatusOK, answer)
}

func (s *store) serveRead(rw http.ResponseWriter, req *http.Request, topic string) {
	from := queryNumber(req, "from")
	timer := time.NewTimer(time.Duration(queryNumber(req, "waitMs")) * time.Millisecond)
	defer timer.Stop()
	for {
		body, appended, any := s.read(topic, from)
		if !any {
			select {
			case <-appended:
				continue
			case <-timer.C:
			case <-req.Context().Done():
				return
			}
		}
		_, _ = rw.Write(body)
		return
	}
}

func (s *store) read(topic string, from uint64) (body []byte, appended <-chan struct{}, any bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	body = binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < uint64(len(t.records)) && len(body) < maxReadBytes; i++ {
		r := t.records[i]
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(body, byte(len(r.key)))
		body = append(body, r.key...)
		body = append(body, r.value...)
		any = true
	}
	return body, t.appended, any
}

func (s *store) serveNewest(rw http.ResponseWriter, req *http.Request, topic string) {
	after := req.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(topic)
	var list []storeRecord
	for key, r := range t.newest {
		if key > after {
			list = append(list, r)
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b storeRecord) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	items := []map[string]any{}
	bytes, more := 0, false
	for _, r := range list {
		if bytes += len(r.key) + len(r.value); len(items) > 0 && (len(items) == pageRecords || bytes > pageBytes) {
			more = true
			break
		}
		items = append(items, map[string]any{"key": r.key, "value": base64.StdEncoding.EncodeToString(r.value), "offset": r.offset})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}
