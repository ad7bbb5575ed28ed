package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"briarspring"
	"briarspring/router"
)

// onceBody is a request body that net/http can't rewind. This keeps net/http
// from retrying a request on its own, whatever the method.
type onceBody struct{ r *bytes.Reader }

func (b *onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b *onceBody) Close() error               { return nil }

// attempt is one attempt to send a call to an executor.
type attempt struct {
	conn atomic.Pointer[lingerConn] // Set before any bytes are sent.
}

// send sends the call to its executor once and handles the response.
func (f *Forwarder) send(ctx context.Context, rw http.ResponseWriter, r *http.Request, q *call, a router.Assignment) result {
	t := &attempt{}
	out, err := f.outgoingRequest(ctx, r, q, a.Executor.Address, t)
	if err != nil {
		f.release(a, router.ResultNotRun)
		return result{notRun: true, reason: "request can't be forwarded: " + err.Error()}
	}
	resp, err := f.transport.RoundTrip(out)
	if err != nil {
		return f.handleSendError(ctx, a, t, err)
	}
	return f.handleResponse(rw, q, a, t, resp)
}

// outgoingRequest builds the request to an executor or to another gateway. Its
// timeout header holds the time left until the call's deadline.
func (f *Forwarder) outgoingRequest(ctx context.Context, r *http.Request, q *call, address string, t *attempt) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*lingerConn); ok {
				t.conn.Store(c)
			}
		},
	})
	url := "http://" + address + r.URL.RequestURI()
	out, err := http.NewRequestWithContext(ctx, r.Method, url, &onceBody{r: bytes.NewReader(q.body)})
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(q.body))
	copyHeaders(out.Header, r.Header)
	out.Host = r.Host
	out.Header.Set(briarspring.HeaderRequestID, q.id)
	out.Header.Set(briarspring.HeaderIdempotent, strconv.FormatBool(q.idempotent))
	out.Header.Set(briarspring.HeaderTimeout, max(time.Until(q.deadline), time.Millisecond).String())
	return out, nil
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

// handleSendError handles an attempt that failed without a response. If there
// was no connection, nothing was sent. Otherwise the executor may have run the
// request, and the slot stays in use until the executor has closed its side of
// the connection.
func (f *Forwarder) handleSendError(ctx context.Context, a router.Assignment, t *attempt, err error) result {
	conn := t.conn.Load()
	if conn == nil {
		outcome := router.ResultFailed
		if ctx.Err() != nil {
			outcome = router.ResultNotRun
		}
		f.release(a, outcome)
		return result{notRun: true, reason: "the executor can't be reached"}
	}
	outcome := router.ResultFailed
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		outcome = router.ResultDropped
	}
	f.recordResult(a, outcome)
	conn.Close()
	conn.onPeerClose(func() { f.releaseSlot(a) })
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result{status: http.StatusGatewayTimeout, reason: "the executor did not answer in time"}
	case ctx.Err() != nil:
		f.counts.abandoned.Add(1)
		return result{done: true}
	}
	return result{status: http.StatusBadGateway, reason: "the executor broke off before its answer"}
}

// handleResponse checks that the response belongs to the call, and streams it
// to the caller unless the call can be retried.
func (f *Forwarder) handleResponse(rw http.ResponseWriter, q *call, a router.Assignment, t *attempt, resp *http.Response) result {
	if resp.Header.Get(briarspring.HeaderLeaving) == "true" {
		f.mu.Lock()
		f.router.MarkLeaving(a.Executor.ID)
		f.mu.Unlock()
	}
	if resp.Header.Get(briarspring.HeaderRequestID) != q.id {
		f.abortAttempt(a, t, resp, router.ResultFailed)
		return result{status: http.StatusBadGateway, reason: "the executor answered another request"}
	}
	if resp.Header.Get(briarspring.HeaderOutcome) == string(briarspring.OutcomeNotRun) {
		f.discardResponse(a, t, resp, router.ResultNotRun)
		return result{notRun: true, reason: "the executor did not run the request"}
	}
	if q.idempotent && retriable(resp.StatusCode) && f.canRetry(q) {
		f.discardResponse(a, t, resp, router.ResultFailed)
		return result{executorDone: true, status: http.StatusBadGateway, reason: "the executor failed: " + resp.Status}
	}
	f.streamResponse(rw, q, a, t, resp)
	return result{done: true}
}

// retriable reports whether a status indicates a transient failure.
func retriable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// canRetry reports whether the call has attempts left and the retry budget has
// a token, so that a failed response can be withheld from the caller.
func (f *Forwarder) canRetry(q *call) bool {
	return len(q.tried)+1 < maxAttempts && f.budget.available()
}

// streamResponse streams the executor's response to the caller.
func (f *Forwarder) streamResponse(rw http.ResponseWriter, q *call, a router.Assignment, t *attempt, resp *http.Response) {
	header := rw.Header()
	closing := header.Get("Connection")
	copyHeaders(header, resp.Header)
	if closing != "" {
		header.Set("Connection", closing)
	}
	header.Set(briarspring.HeaderRequestID, q.id)
	header.Set(briarspring.HeaderOutcome, string(briarspring.OutcomeServed))
	rw.WriteHeader(resp.StatusCode)
	complete, err := copyBody(rw, resp.Body)
	if !complete {
		f.counts.cut.Add(1)
		f.logger.Warn("response cut off", "id", q.id, "executor", a.Executor.ID, "error", err)
		f.abortAttempt(a, t, resp, router.ResultFailed)
		panic(http.ErrAbortHandler)
	}
	resp.Body.Close()
	f.counts.served.Add(1)
	f.release(a, router.ResultServed)
}

// abortAttempt closes the attempt's connection, and releases the slot once the
// executor has closed its side.
func (f *Forwarder) abortAttempt(a router.Assignment, t *attempt, resp *http.Response, outcome router.Result) {
	f.recordResult(a, outcome)
	conn := t.conn.Load()
	if conn == nil {
		resp.Body.Close()
		f.releaseSlot(a)
		return
	}
	conn.Close()
	resp.Body.Close()
	conn.onPeerClose(func() { f.releaseSlot(a) })
}

// discardResponse reads and drops a response, so that its connection can be
// reused, and releases the slot.
func (f *Forwarder) discardResponse(a router.Assignment, t *attempt, resp *http.Response, outcome router.Result) {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, copyBufferBytes))
	if err != nil {
		f.abortAttempt(a, t, resp, outcome)
		return
	}
	resp.Body.Close()
	f.release(a, outcome)
}
