package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"briarspring"
	"briarspring/limiter"
	"briarspring/router"
)

const (
	maxAttempts     = 3
	copyBufferBytes = 32 << 10
)

// bodyRefusal returns the refusal for an error of reading the request body.
func bodyRefusal(err error) *refusal {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	}
	var refused *limiter.RefusedError
	if errors.As(err, &refused) {
		return &refusal{status: http.StatusServiceUnavailable, reason: refused.Reason, retryAfter: refused.RetryAfter}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body did not arrive whole in time"}
}

// refuse responds that the request was not run.
func (f *Forwarder) refuse(rw http.ResponseWriter, q *call, x refusal) {
	f.counts.notRun.Add(1)
	f.logger.Info("request refused", "id", q.id, "service", q.service.Name, "status", x.status, "reason", x.reason)
	rw.Header().Set(briarspring.HeaderOutcome, string(briarspring.OutcomeNotRun))
	if x.retryAfter > 0 {
		seconds := int64((x.retryAfter + time.Second - 1) / time.Second)
		rw.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	http.Error(rw, x.reason, x.status)
}

// replyUnknown responds that the request may have run.
func (f *Forwarder) replyUnknown(rw http.ResponseWriter, q *call, status int, reason string) {
	f.counts.unknown.Add(1)
	f.logger.Warn("request outcome unknown", "id", q.id, "service", q.service.Name, "status", status, "reason", reason)
	rw.Header().Set(briarspring.HeaderOutcome, string(briarspring.OutcomeUnknown))
	http.Error(rw, reason, status)
}

// serve sends the request to executors until one responds, no further attempt
// is allowed, or the outcome is unknown.
func (f *Forwarder) serve(ctx context.Context, rw http.ResponseWriter, r *http.Request, q *call) {
	f.budget.deposit()
	for attempts := 1; ; attempts++ {
		a, refused := f.acquireSlot(ctx, q)
		if refused != nil {
			if !f.forwardToRemote(ctx, rw, r, q, *refused) {
				f.refuse(rw, q, *refused)
			}
			return
		}
		f.logger.Info("decision route", "id", q.id, "service", q.service.Name, "executor", a.Executor.ID,
			"try", attempts, "reason", a.Reason, "probe", a.Probe)
		res := f.send(ctx, rw, r, q, a)
		if res.done {
			return
		}
		q.tried = append(q.tried, a.Executor.ID)
		if !f.mayRetry(ctx, q, res, attempts) {
			f.replyFailure(rw, q, res)
			return
		}
		f.counts.retries.Add(1)
	}
}

// mayRetry reports whether another attempt is allowed. Either the last one was
// certainly not run, or it has certainly ended and the request is idempotent.
func (f *Forwarder) mayRetry(ctx context.Context, q *call, res result, attempts int) bool {
	if attempts >= maxAttempts || ctx.Err() != nil {
		return false
	}
	safe := res.notRun || res.executorDone && q.idempotent
	return safe && f.budget.withdraw()
}

func (f *Forwarder) replyFailure(rw http.ResponseWriter, q *call, res result) {
	if res.notRun {
		f.refuse(rw, q, refusal{status: http.StatusServiceUnavailable, reason: res.reason, retryAfter: time.Second})
		return
	}
	f.replyUnknown(rw, q, res.status, res.reason)
}

// acquireSlot acquires a slot for the call, and waits in the queue if none is
// free.
func (f *Forwarder) acquireSlot(ctx context.Context, q *call) (router.Assignment, *refusal) {
	request := router.Request{ID: q.id, Service: q.service.Name, Deadline: q.deadline, Avoid: q.tried}
	f.mu.Lock()
	if _, busy := f.waiters[q.id]; busy {
		f.mu.Unlock()
		return router.Assignment{}, &refusal{status: http.StatusConflict, reason: "a request with this id is waiting"}
	}
	a, refused := f.router.Submit(request, time.Now())
	if a != nil || refused != nil {
		f.mu.Unlock()
		if refused != nil {
			return router.Assignment{}, &refusal{
				status: http.StatusServiceUnavailable, reason: refused.Reason, retryAfter: refused.RetryAfter,
			}
		}
		return *a, nil
	}
	ch := make(chan router.Assignment, 1)
	f.waiters[q.id] = ch
	f.mu.Unlock()
	return f.awaitSlot(ctx, q, request, ch)
}

func (f *Forwarder) awaitSlot(ctx context.Context, q *call, request router.Request, ch chan router.Assignment) (router.Assignment, *refusal) {
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
	}
	f.mu.Lock()
	delete(f.waiters, q.id)
	withdrawn := f.router.Withdraw(request)
	f.mu.Unlock()
	if !withdrawn {
		f.release(<-ch, router.ResultNotRun)
	}
	return router.Assignment{}, &refusal{
		status: http.StatusServiceUnavailable, reason: "no slot became free in time", retryAfter: time.Second,
	}
}

// release records a request's result, releases its slot, and wakes the requests
// that get slots by this.
func (f *Forwarder) release(a router.Assignment, outcome router.Result) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.RecordResult(a, outcome, now)
	f.wake(f.router.Release(a, now))
}

// recordResult records a request's result while its slot stays in use.
func (f *Forwarder) recordResult(a router.Assignment, outcome router.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.RecordResult(a, outcome, time.Now())
}

// releaseSlot releases a slot whose result has been recorded.
func (f *Forwarder) releaseSlot(a router.Assignment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wake(f.router.Release(a, time.Now()))
}

// wake delivers assignments to the requests that wait for them.
func (f *Forwarder) wake(assignments []router.Assignment) {
	for _, a := range assignments {
		if ch := f.waiters[a.Request.ID]; ch != nil {
			delete(f.waiters, a.Request.ID)
			ch <- a
		}
	}
}

// result is the result of one attempt.
type result struct {
	done         bool // The caller got a response or disconnected.
	notRun       bool // The executor has not run the request and never will.
	executorDone bool // The executor has certainly finished the request.
	status       int
	reason       string
}

// copyBody streams a response body and reports whether it was complete. If not,
// the caller of copyBody must abort the response so that the client notices.
func copyBody(rw http.ResponseWriter, body io.Reader) (complete bool, err error) {
	buffer := make([]byte, copyBufferBytes)
	flusher, _ := rw.(http.Flusher)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if _, err := rw.Write(buffer[:n]); err != nil {
				return false, err
			}
		}
		if readErr == io.EOF {
			return true, nil
		}
		if readErr != nil {
			return false, readErr
		}
		if flusher != nil && n < copyBufferBytes {
			flusher.Flush()
		}
	}
}
