package briarspring

// HTTP headers of callers' requests and their responses.
const (
	// HeaderTimeout is the timeout of a request, a Go duration such as "250ms".
	HeaderTimeout = "Briarspring-Timeout"
	// HeaderIdempotent is "true" if a request may run more than once.
	HeaderIdempotent = "Briarspring-Idempotent"
	// HeaderRequestID identifies a request; upstreams echo it.
	HeaderRequestID = "Briarspring-Request-Id"
	// HeaderOutcome is the Outcome of the request, set on responses.
	HeaderOutcome = "Briarspring-Outcome"
	// HeaderLeaving is set on an upstream's response when it is draining and
	// accepts no new requests.
	HeaderLeaving = "Briarspring-Leaving"
	// HeaderHop marks a request that a gateway of another data centre forwarded.
	HeaderHop = "Briarspring-Hop"
)

// Outcome says whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	OutcomeServed  Outcome = "served"  // The upstream's complete response follows.
	OutcomeNotRun  Outcome = "not-run" // No upstream has run the request or will run it.
	OutcomeUnknown Outcome = "unknown" // The request may have run.
)
