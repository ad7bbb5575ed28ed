package limiter

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net/http"
)

// gzipBytes is what expanding a body takes beside the body.
const gzipBytes = 64 << 10

// BufferedConfig holds the limits of Buffered.
type BufferedConfig struct {
	Limit int64 // Largest body, also after it is expanded.
	// Needs returns how many bytes the messages that are made of a body take beside it.
	Needs    func(header http.Header, body []byte) int64
	MaxNeeds int64
}

// Buffered returns a handler that reads bodies, and expands those in gzip, before it
// passes requests on, for handlers that read them on their own.
func Buffered(next http.Handler, c BufferedConfig) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		body, err := c.read(rw, req)
		var refused *RefusedError
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &refused):
			WriteRefusal(rw, refused)
			return
		case errors.As(err, &large):
			http.Error(rw, err.Error(), http.StatusRequestEntityTooLarge)
			return
		case err != nil:
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if body != nil {
			req.Body = io.NopCloser(bytes.NewReader(body))
			req.ContentLength = int64(len(body))
		}
		next.ServeHTTP(rw, req)
	})
}

// read returns the whole body of a request, for which all that is made of it is
// reserved.
func (c BufferedConfig) read(rw http.ResponseWriter, req *http.Request) ([]byte, error) {
	body, err := ReadBody(rw, req, c.Limit)
	if err != nil {
		return nil, err
	}
	if req.Header.Get("Content-Encoding") == "gzip" {
		if body, err = expand(req.Context(), body, c.Limit); err != nil {
			return nil, err
		}
		req.Header.Del("Content-Encoding")
	}
	needs := c.Needs(req.Header, body)
	if needs > c.MaxNeeds {
		return nil, &http.MaxBytesError{Limit: c.MaxNeeds}
	}
	return body, Reserve(req.Context(), needs)
}

// expand returns a body without its compression, whose bytes are reserved in place of
// those of the compressed one. The errors are those of ReadBody.
func expand(ctx context.Context, body []byte, limit int64) ([]byte, error) {
	if err := Reserve(ctx, gzipBytes); err != nil {
		return nil, err
	}
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	reader := http.MaxBytesReader(nil, z, limit)
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return io.ReadAll(reader)
	}
	expanded, err := c.readBody(reader, -1, limit)
	if err != nil {
		return nil, err
	}
	c.release(gzipBytes + int64(len(body)))
	return expanded, nil
}
