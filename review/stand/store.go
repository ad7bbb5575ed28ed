package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, from DEPLOY.md and PROTOCOL.md.
const (
	storeDelay        = 4 * time.Millisecond
	maxRecordBytes    = 262144
	maxRequestBytes   = 2097152
	maxNewestItems    = 500
	maxNewestBytes    = 1 << 20
	maxReadWait       = 30 * time.Second
	defaultReadKB     = 1024
	repeatedAppends   = 5
	recordLengthBytes = 4
)

// entry is a record of a topic.
type entry struct {
	offset uint64
	key    string
	value  []byte
	raw    []byte
}

// appended is the response to an append, kept for repeats.
type appended struct {
	sequence    uint64
	offset, end uint64
}

// topic is a keyed topic with a single partition.
type topic struct {
	entries []entry
	newest  map[string]entry
	epoch   uint64
	next    uint64 // Expected sequence number; zero if any is accepted.
	recent  []appended
	changed chan struct{} // Closed and replaced with each append.
}

// store serves the protocol of the platform's log.
type store struct {
	// fault is called for every call of a host. It returns true if it has dealt
	// with the call; apply carries it out.
	fault func(host string, rw http.ResponseWriter, req *http.Request, apply func()) bool

	mu     sync.Mutex
	topics map[string]*topic
}

func newStore() *store {
	return &store{topics: map[string]*topic{}}
}

// topic returns the topic with a name, which is created on first use.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]entry{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a record for the operator or an executor. An empty value removes the
// key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.topic(name).add([]entry{{key: key, value: value, raw: append(raw, value...)}})
}

func (t *topic) add(entries []entry) (first uint64) {
	first = uint64(len(t.entries))
	for _, e := range entries {
		e.offset = uint64(len(t.entries))
		t.entries = append(t.entries, e)
		if len(e.value) == 0 {
			delete(t.newest, e.key)
		} else {
			t.newest[e.key] = e
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

// handler returns the handler of the calls of one host, which has an address of the
// store for itself.
func (s *store) handler(host string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { s.serve(host, rw, req) })
}

func (s *store) serve(host string, rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	serve := map[string]func(http.ResponseWriter, *http.Request, []byte){
		"/v1/log-append": s.append, "/v1/log-read": s.read, "/v1/log-newest": s.newestRecords,
	}[req.URL.Path]
	if serve == nil {
		http.NotFound(rw, req)
		return
	}
	if s.fault != nil && s.fault(host, rw, req, func() { serve(discard{}, req, body) }) {
		return
	}
	serve(rw, req, body)
}

// discard is the writer of a response that is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func number(req *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(req.URL.Query().Get(name), 10, 64)
	return n
}

func reply(rw http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// decodeEntries decodes the body of an append to a keyed topic.
func decodeEntries(body []byte) ([]entry, bool) {
	var entries []entry
	for len(body) > 0 {
		if len(body) < recordLengthBytes {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[recordLengthBytes:]
		if n == 0 || n > len(body) || n > maxRecordBytes || 1+int(body[0]) > n {
			return nil, false
		}
		raw := body[:n]
		entries = append(entries, entry{key: string(raw[1 : 1+raw[0]]), value: raw[1+int(raw[0]):], raw: raw})
		body = body[n:]
	}
	return entries, true
}

func (s *store) append(rw http.ResponseWriter, req *http.Request, body []byte) {
	name := req.URL.Query().Get("topic")
	entries, ok := decodeEntries(body)
	switch {
	case name == "keyed.op" || name == "keyed.servers":
		reply(rw, http.StatusForbidden, struct{}{})
		return
	case !ok || len(body) > maxRequestBytes:
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	epoch, sequence, fenced := number(req, "epoch"), number(req, "sequence"), req.URL.Query().Has("epoch")
	if fenced {
		switch i := slices.IndexFunc(t.recent, func(a appended) bool { return a.sequence == sequence }); {
		case epoch < t.epoch:
			reply(rw, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > t.epoch:
			t.epoch, t.recent = epoch, nil
		case i >= 0:
			reply(rw, http.StatusOK, map[string]uint64{"offset": t.recent[i].offset, "end": t.recent[i].end})
			return
		case sequence != t.next:
			reply(rw, http.StatusConflict, map[string]any{"reason": "seq", "sequence": t.next})
			return
		}
		t.next = sequence + 1
	}
	first := t.add(entries)
	end := uint64(len(t.entries))
	if fenced {
		t.recent = append(t.recent, appended{sequence: sequence, offset: first, end: end})
		t.recent = t.recent[max(0, len(t.recent)-repeatedAppends):]
	}
	reply(rw, http.StatusOK, map[string]uint64{"offset": first, "end": end})
}

func (s *store) read(rw http.ResponseWriter, req *http.Request, _ []byte) {
	from := number(req, "from")
	limit := int(number(req, "maximumKilobytes")) << 10
	if limit == 0 {
		limit = defaultReadKB << 10
	}
	wait := min(time.Duration(number(req, "waitMs"))*time.Millisecond, maxReadWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(req.URL.Query().Get("topic"))
		changed, end := t.changed, uint64(len(t.entries))
		if from < end || !waiting {
			body := binary.BigEndian.AppendUint64(make([]byte, 0, 16), end)
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, e := range t.entries[min(from, end):] {
				if len(body) > 16 && len(body)+len(e.raw) > limit {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(len(e.raw)))
				body = append(body, e.raw...)
			}
			s.mu.Unlock()
			_, _ = rw.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) newestRecords(rw http.ResponseWriter, req *http.Request, _ []byte) {
	after := req.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(req.URL.Query().Get("topic"))
	items, size, more := []map[string]any{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if strings.Compare(key, after) <= 0 {
			continue
		}
		e := t.newest[key]
		if len(items) == maxNewestItems || size > 0 && size+len(e.raw) > maxNewestBytes {
			more = true
			break
		}
		size += len(e.raw)
		items = append(items, map[string]any{"key": key, "value": e.value, "offset": e.offset})
	}
	reply(rw, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(t.entries)})
}
