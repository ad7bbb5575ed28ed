package imitator

import (
	"context"

	"briarspring"
)

// StreamOutage makes streams of a KeyedStore unreachable.
type StreamOutage struct {
	Stream string // Empty for all streams.
	Caller string // Empty for all callers, the workers included.
	Silent bool   // Calls get no answer; otherwise they fail with NotExecutedError.
}

// affects reports whether a caller's calls on a stream meet the outage.
func (o *StreamOutage) affects(caller, stream string) bool {
	return (o.Stream == "" || o.Stream == stream) && (o.Caller == "" || o.Caller == caller)
}

// BeginOutage starts an outage that lasts until the returned function is called.
// Outages may overlap.
func (s *KeyedStore) BeginOutage(o StreamOutage) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outage := &o
	s.outages[outage] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.outages, outage)
	}
}

// outageOf returns an outage that a caller's calls on a stream meet, a silent one if
// there are several; nil for none.
func (s *KeyedStore) outageOf(caller, stream string) *StreamOutage {
	var found *StreamOutage
	for o := range s.outages {
		if o.affects(caller, stream) && (found == nil || o.Silent) {
			found = o
		}
	}
	return found
}

// LastWriter returns the caller whose fenced append to a stream was carried out last;
// empty for none.
func (s *KeyedStore) LastWriter(stream string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(stream).writer
}

// meetOutage fails if the stream of a call is unreachable.
func (c *KeyedClient) meetOutage(ctx context.Context, call, stream string) error {
	c.store.mu.Lock()
	o := c.store.outageOf(c.caller, stream)
	c.store.mu.Unlock()
	switch {
	case o == nil:
		return nil
	case o.Silent:
		<-ctx.Done()
		return &briarspring.NoAnswerError{Call: call, Cause: ctx.Err()}
	}
	return &briarspring.NotExecutedError{Call: call, Reason: "stream " + stream + " is down"}
}
