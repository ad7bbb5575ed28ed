package forwarder

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"briarspring"
)

// forwardToRemote sends a call that got no slot here to the gateways of other
// data centres, one after another. A call is forwarded once at most. It reports
// whether the caller got a response.
func (f *Forwarder) forwardToRemote(ctx context.Context, rw http.ResponseWriter, r *http.Request, q *call, refused refusal) bool {
	if q.forwarded || refused.status != http.StatusServiceUnavailable {
		return false
	}
	for _, e := range f.config.RemoteGateways {
		if ctx.Err() != nil {
			return false
		}
		f.logger.Info("decision forward", "id", q.id, "service", q.service.Name,
			"data-centre", e.DataCentre, "reason", refused.reason)
		if f.sendToRemote(ctx, rw, r, q, e) {
			return true
		}
	}
	return false
}

// sendToRemote sends a call to a gateway of another data centre. It reports
// whether the caller got a response, which is not so if nothing was sent or the
// other gateway did not run the request.
func (f *Forwarder) sendToRemote(ctx context.Context, rw http.ResponseWriter, r *http.Request, q *call, e RemoteGateway) bool {
	var sent atomic.Bool
	out, err := f.outgoingRequest(ctx, r, q, e.Address, &attempt{})
	if err != nil {
		return false
	}
	out = out.WithContext(httptrace.WithClientTrace(out.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}))
	out.Header.Set(briarspring.HeaderHop, "1")
	resp, err := f.remoteTransport.RoundTrip(out)
	if err != nil {
		if !sent.Load() {
			return false
		}
		f.replyUnknown(rw, q, http.StatusBadGateway, "the gateway in "+e.DataCentre+" did not answer")
		return true
	}
	defer resp.Body.Close()
	if resp.Header.Get(briarspring.HeaderOutcome) == string(briarspring.OutcomeNotRun) {
		return false
	}
	if resp.Header.Get(briarspring.HeaderRequestID) != q.id {
		f.replyUnknown(rw, q, http.StatusBadGateway, "the gateway in "+e.DataCentre+" answered another request")
		return true
	}
	f.counts.passedOn.Add(1)
	copyHeaders(rw.Header(), resp.Header)
	rw.WriteHeader(resp.StatusCode)
	if complete, _ := copyBody(rw, resp.Body); !complete {
		f.counts.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
	return true
}
