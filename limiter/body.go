package limiter

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// firstPieceBytes is reserved first for a body of unknown length; more is reserved
	// by doubling.
	firstPieceBytes = 4 << 10
	// maxRetryAfter is the longest time that a refused client is asked to wait: room
	// is found when what has stalled is shed, within seconds.
	maxRetryAfter = 3 // Seconds.
)

func retryAfter() time.Duration { return time.Duration(1+rand.IntN(maxRetryAfter)) * time.Second }

// ReadBody returns the whole body of a request, whose bytes are reserved until the
// request has been carried out. Errors are a *RefusedError where there is no room or
// the request was shed, an *http.MaxBytesError where the body exceeds limit bytes,
// and those of reading. Requests of servers without a Door are only limited in size.
func ReadBody(rw http.ResponseWriter, req *http.Request, limit int64) ([]byte, error) {
	c, _ := req.Context().Value(connKey{}).(*Conn)
	if req.ContentLength > limit {
		rw.Header().Set("Connection", "close") // The server would read the body otherwise.
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if req.Body == nil || req.ContentLength == 0 {
		return nil, nil
	}
	reader := http.MaxBytesReader(rw, req.Body, limit)
	if c == nil {
		return io.ReadAll(reader)
	}
	c.setPhase(phaseBody)
	if req.ContentLength < 0 {
		c.beginChunks()
	}
	body, err := c.readBody(reader, req.ContentLength, limit)
	var large *http.MaxBytesError
	if !c.setPhase(phaseServing) && !errors.As(err, &large) {
		err = c.refuse("it made too little progress")
	}
	if err != nil {
		rw.Header().Set("Connection", "close") // The rest of the body is not read.
		return nil, err
	}
	return body, nil
}

// readBody reads a body of a known length, or of an unknown one if it is negative.
func (c *Conn) readBody(r io.Reader, length, limit int64) ([]byte, error) {
	size := length
	if length < 0 {
		size = min(firstPieceBytes, limit+1)
	}
	if err := c.reserve(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if length >= 0 {
				return body, nil
			}
			grown, err := c.grow(body, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of the body with room for as many bytes again, or for one byte
// more than the limit, where the reader reports that it is exceeded.
func (c *Conn) grow(body []byte, limit int64) ([]byte, error) {
	old := int64(len(body))
	size := min(2*old, limit+1)
	c.leaveLane() // Others may have to be decoded before they release their bytes.
	if err := c.reserve(size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), body...)
	c.release(old)
	return grown, nil
}

// release returns n reserved bytes before the request has been carried out.
func (c *Conn) release(n int64) {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.door.pool.release(c.holding, n)
}

// Reserve reserves n bytes for what is made of a request, until the request has been
// carried out. The error is a *RefusedError. It does nothing where the request's
// server has no Door.
func Reserve(ctx context.Context, n int64) error {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return nil
	}
	return c.reserve(n)
}

// WriteRefusal answers a refused request, which has not run.
func WriteRefusal(rw http.ResponseWriter, e *RefusedError) {
	rw.Header().Set("Retry-After", strconv.Itoa(int(e.RetryAfter/time.Second)))
	http.Error(rw, e.Error(), http.StatusServiceUnavailable)
}
