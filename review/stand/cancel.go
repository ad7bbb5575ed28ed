package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	cancelWork     = 10 * time.Second
	cancelPatience = 500 * time.Millisecond  // How long the client waits before it gives up.
	cancelBefore   = 1500 * time.Millisecond // How long answers of the store are lost before the job is handed in,
	cancelAfter    = 300 * time.Millisecond  // and after it.
	maxLostShare   = 0.35                    // The site's platform_lost.
	cancelLate     = 6 * time.Second         // When a write without an answer is carried out, at the latest.
	cancelTime     = 3 * time.Second         // The site's cancel_ms.
	stopTime       = 200 * time.Millisecond  // The site's stop_ms.
)

// runCancel plays a client that hands a job in, gives up after a while and cancels
// it at another host. With trouble the answer to the write of the job is lost, and
// the write itself is carried out late. Once the cancellation is acknowledged, the
// job may not run beyond cancel_ms and stop_ms.
func runCancel(s *system, trouble bool) (broken []string, err error) {
	var losing, armed atomic.Bool
	var lost, answered atomic.Int32
	s.store.fault = func(host string, _ http.ResponseWriter, req *http.Request, apply func()) bool {
		write := req.URL.Path == "/v1/log-append"
		if !losing.Load() || !write {
			return false
		}
		if host != s.hosts[0].name || !armed.CompareAndSwap(true, false) {
			answered.Add(1)
			return false
		}
		lost.Add(1)
		s.record.printf("the answer to a write of %s is lost", s.hosts[0].name)
		time.AfterFunc(cancelLate, func() {
			s.record.printf("the write is carried out")
			apply()
		})
		<-req.Context().Done()
		return true
	}
	if err := s.addExecutors(2, func(string) behaviour { return behaviour{work: cancelWork} }); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	const id = "00000000000c0001"
	job := map[string]any{"specification": "receipt", "steps": []map[string]any{
		{"count": 4, "cpu": 1000, "taskMemoryMb": 1024, "estimatedMs": cancelWork.Milliseconds()},
	}}
	if trouble {
		losing.Store(true)
		s.record.printf("answers of the store are lost")
		time.Sleep(cancelBefore)
		armed.Store(true)
		time.AfterFunc(cancelAfter, func() {
			losing.Store(false)
			s.record.printf("answers of the store are lost no more")
		})
	}
	s.call(s.hosts[0], http.MethodPost, urgentPrefix+id, job, cancelPatience)
	status, _ := s.call(s.hosts[1], http.MethodDelete, urgentPrefix+id, nil, clientTimeout)
	if status != http.StatusOK && status != http.StatusGone {
		return nil, fmt.Errorf("the cancellation was not acknowledged: %d", status)
	}
	acknowledged := s.record.now()
	s.record.printf("the cancellation is acknowledged with %d", status)
	time.Sleep(cancelTime + stopTime + cancelWork)
	for _, h := range s.hosts {
		s.call(h, http.MethodGet, urgentPrefix+id, nil, clientTimeout)
	}
	limit := acknowledged + cancelTime + stopTime
	for _, e := range s.ledger.of(id) {
		if e.to == 0 || e.to > limit {
			broken = append(broken, fmt.Sprintf("task %s ran from %.3f to %.3f s, %.3f s after the acknowledgement",
				e.key.task, e.from.Seconds(), e.to.Seconds(), (e.to-acknowledged).Seconds()))
		}
	}
	s.record.printf("%d writes lost, %d others answered meanwhile", lost.Load(), answered.Load())
	if l, a := float64(lost.Load()), float64(answered.Load()); trouble && (l == 0 || l > maxLostShare*(l+a)) {
		return nil, fmt.Errorf("%v of %v writes were lost, more or less than meant", l, l+a)
	}
	return broken, nil
}
