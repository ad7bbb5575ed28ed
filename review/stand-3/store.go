package main

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	answerTime    = 4 * time.Millisecond // Of each call, as the platform states.
	newestRecords = 500                  // Most records of a page of newest ones.
	entryLifetime = 3 * heartbeat        // Of an executor's entry without a heartbeat.
	expiryCheck   = 100 * time.Millisecond
	maxReadWait   = 30 * time.Second
	lengthBytes   = 4
)

// record is one record of a keyed topic.
type record struct {
	key    string
	value  []byte
	offset uint64
}

// topic is partition 0 of a keyed topic. It keeps all records.
type topic struct {
	records  []record
	newest   map[string]record
	epoch    uint64
	sequence uint64   // Last one of the epoch.
	answers  []answer // Of the last appends of the epoch.
	grown    chan struct{}
}

type answer struct {
	sequence    uint64
	offset, end uint64
}

// keptAnswers is how many appends may be repeated.
const keptAnswers = 5

// logStore is the platform's log with keyed topics.
type logStore struct {
	mu      sync.Mutex
	topics  map[string]*topic
	touched map[string]time.Time // Last heartbeat of each executor's entry.
}

func newLogStore() *logStore {
	return &logStore{topics: map[string]*topic{}, touched: map[string]time.Time{}}
}

func (s *logStore) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(key string, value []byte) {
	r := record{key: key, value: value, offset: uint64(len(t.records))}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(t.grown)
	t.grown = make(chan struct{})
}

// put writes a record for the operator or an executor. Nothing is written if the newest
// record of the key has that value.
func (s *logStore) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	if old, ok := t.newest[key]; ok == (len(value) > 0) && string(old.value) == string(value) {
		return
	}
	t.add(key, value)
}

func (s *logStore) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	name := query.Get("topic")
	time.Sleep(answerTime)
	switch req.URL.Path {
	case "/v1/log-append":
		if name == "keyed.op" || name == "keyed.servers" {
			rw.WriteHeader(http.StatusForbidden)
			return
		}
		s.append(rw, req, name)
	case "/v1/log-read":
		s.read(rw, req, name)
	case "/v1/log-newest":
		s.newest(rw, name, query.Get("after"))
	case "/stand/entry": // An executor's heartbeat.
		body, _ := io.ReadAll(req.Body)
		id := query.Get("id")
		s.mu.Lock()
		s.touched[id] = time.Now()
		s.mu.Unlock()
		s.put("keyed.servers", id, body)
	case "/stand/op": // The operator; an empty body drops the key.
		body, _ := io.ReadAll(req.Body)
		s.put("keyed.op", query.Get("key"), body)
	default:
		http.NotFound(rw, req)
	}
}

func writeBody(rw http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (s *logStore) append(rw http.ResponseWriter, req *http.Request, name string) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	records, ok := parseRecords(body)
	if !ok {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	query := req.URL.Query()
	epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(query.Get("sequence"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if query.Has("producer") {
		switch {
		case epoch < t.epoch:
			writeBody(rw, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > t.epoch:
			t.epoch, t.answers = epoch, nil
		default:
			for _, a := range t.answers {
				if a.sequence == sequence {
					writeBody(rw, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
					return
				}
			}
			if sequence != t.sequence+1 {
				writeBody(rw, http.StatusConflict, map[string]any{"reason": "seq", "sequence": t.sequence + 1})
				return
			}
		}
		t.sequence = sequence
	}
	a := answer{sequence: sequence, offset: uint64(len(t.records))}
	for _, r := range records {
		t.add(r.key, r.value)
	}
	a.end = uint64(len(t.records))
	if query.Has("producer") {
		t.answers = append(t.answers, a)
		t.answers = t.answers[max(0, len(t.answers)-keptAnswers):]
	}
	writeBody(rw, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
}

// parseRecords parses the body of an append.
func parseRecords(body []byte) (records []record, ok bool) {
	for len(body) > 0 {
		if len(body) < lengthBytes+1 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if n < 1 || n > len(body) || 1+int(body[0]) > n {
			return nil, false
		}
		split := 1 + int(body[0])
		records = append(records, record{key: string(body[1:split]), value: slices.Clone(body[split:n])})
		body = body[n:]
	}
	return records, true
}

func (s *logStore) read(rw http.ResponseWriter, req *http.Request, name string) {
	query := req.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	most := 1024
	if n, err := strconv.Atoi(query.Get("maximumKilobytes")); err == nil {
		most = n
	}
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxReadWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(name)
		records, grown := t.records, t.grown
		s.mu.Unlock()
		if from < uint64(len(records)) || waitMs == 0 {
			writeRecords(rw, records, from, most<<10)
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			writeRecords(rw, records, from, most<<10)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func writeRecords(rw http.ResponseWriter, records []record, from uint64, most int) {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < uint64(len(records)) && len(body) < most; i++ {
		r := records[i]
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(body, byte(len(r.key)))
		body = append(body, r.key...)
		body = append(body, r.value...)
	}
	_, _ = rw.Write(body)
}

func (s *logStore) newest(rw http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > newestRecords
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), newestRecords)] {
		r := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": r.value, "offset": r.offset})
	}
	writeBody(rw, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(t.records)})
}

// expireEntries removes the entries of executors that have been silent.
func (s *logStore) expireEntries() {
	for range time.Tick(expiryCheck) {
		s.mu.Lock()
		for id, at := range s.touched {
			if time.Since(at) > entryLifetime {
				delete(s.touched, id)
				s.topic("keyed.servers").add(id, nil)
			}
		}
		s.mu.Unlock()
	}
}

// runStore serves a store until it is killed.
func runStore(args []string) error {
	flags := flag.NewFlagSet("store", flag.ContinueOnError)
	address := flags.String("address", "", "address to serve")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s := newLogStore()
	go s.expireEntries()
	return serve(*address, s)
}

// serve serves an address, which may still be in use by a process that has just ended.
func serve(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	for i := 0; err != nil && i < 20 && strings.Contains(err.Error(), "in use"); i++ {
		time.Sleep(100 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	return server.Serve(listener)
}
