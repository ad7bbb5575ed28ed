package assembler

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protowire"

	"briarspring/limiter"
)

const (
	// callWeight is how many bytes a message of the operators' calls takes for each that
	// arrives: the body, its decoded form, and what is made of that.
	callWeight = 3
	// elementBytes is what an element of a list takes beyond that: a step is the largest,
	// as a message and as a part of a workflow.
	elementBytes = 640
	// envelopeBytes precede the message in the protocols of streams.
	envelopeBytes = 5
)

// bufferedCalls returns a handler that reads the operators' calls whole, within the
// bytes of their door.
func bufferedCalls(h http.Handler, door int64) http.Handler {
	return limiter.Buffered(h, limiter.BufferedConfig{Limit: door / 2 / callWeight, Needs: callNeeds, MaxNeeds: door / 4 * 3})
}

// callNeeds returns how many bytes the messages made of a body take beside it.
func callNeeds(header http.Header, body []byte) int64 {
	return int64(len(body))*(callWeight-1) + int64(countElements(header.Get("Content-Type"), body))*elementBytes
}

// countElements returns how many elements the lists of a message have at most.
func countElements(contentType string, body []byte) int {
	if strings.Contains(contentType, "json") {
		return countObjects(body)
	}
	if strings.Contains(contentType, "connect+") || strings.Contains(contentType, "grpc") {
		body = body[min(len(body), envelopeBytes):]
	}
	count := 0
	for len(body) > 0 {
		_, _, n := protowire.ConsumeField(body)
		if n < 0 {
			break // Decoding fails here, too.
		}
		body = body[n:]
		count++
	}
	return count
}

// countObjects returns how many objects a JSON value has.
func countObjects(body []byte) int {
	count := 0
	quoted := false
	for i := 0; i < len(body); i++ {
		switch {
		case body[i] == '"':
			quoted = !quoted
		case quoted && body[i] == '\\':
			i++
		case !quoted && body[i] == '{':
			count++
		}
	}
	return count
}

// callOptions returns the options of the operators' handlers. Bodies in gzip are
// expanded before; messages that are compressed on their own, in the protocols of
// streams, are refused, as nothing bounds what they expand to.
func callOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression("gzip",
		func() connect.Decompressor { return refusedDecompressor{} },
		func() connect.Compressor { return gzip.NewWriter(io.Discard) },
	)}
}

// CompressedCallError is returned for a message that is compressed on its own.
type CompressedCallError struct{}

// Error implements error.
func (*CompressedCallError) Error() string { return "compressed messages of streams are not accepted" }

// refusedDecompressor reads no message.
type refusedDecompressor struct{}

// Read implements io.Reader.
func (refusedDecompressor) Read([]byte) (int, error) { return 0, &CompressedCallError{} }

// Close implements io.Closer.
func (refusedDecompressor) Close() error { return nil }

// Reset implements connect.Decompressor.
func (refusedDecompressor) Reset(io.Reader) error { return nil }
