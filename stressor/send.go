package stressor

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	pieces     = 8
	pieceDelay = 30 * time.Millisecond
	// halfHeaderBytes is nearly the largest legal header.
	halfHeaderBytes = 15 << 10
)

// Chunked returns a body in chunks of a size.
func Chunked(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// Compressed returns a body that is compressed with gzip.
func Compressed(body []byte) []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, _ = z.Write(body) // A buffer takes all.
	_ = z.Close()
	return b.Bytes()
}

// header returns the headers of a request with a body of n bytes. In the format, each
// verb stands for n.
func header(format string, n int) string {
	verbs := make([]any, strings.Count(format, "%"))
	for i := range verbs {
		verbs[i] = n
	}
	return fmt.Sprintf(format, verbs...)
}

// Silent sends nothing.
func Silent(net.Conn, bool) {}

// Body sends a request at once, unless complete without its last byte.
func Body(format string, body []byte) Sender {
	return func(conn net.Conn, complete bool) {
		part := body
		if !complete {
			part = body[:len(body)-1]
		}
		// The process may close the connection at any time.
		_, _ = io.WriteString(conn, header(format, len(body)))
		_, _ = conn.Write(part)
	}
}

// Pieces sends a request piece by piece, unless complete without its last byte.
func Pieces(format string, body []byte) Sender {
	return func(conn net.Conn, complete bool) {
		part := body
		if !complete {
			part = body[:len(body)-1]
		}
		_, _ = io.WriteString(conn, header(format, len(body)))
		size := len(part)/pieces + 1
		for len(part) > 0 {
			n := min(size, len(part))
			if _, err := conn.Write(part[:n]); err != nil {
				return
			}
			part = part[n:]
			time.Sleep(pieceDelay)
		}
	}
}

// Whole sends a request whole.
func Whole(format string, body []byte) Sender {
	return func(conn net.Conn, _ bool) {
		_, _ = io.WriteString(conn, header(format, len(body)))
		_, _ = conn.Write(body)
	}
}

// Declared sends a header that declares a body of n bytes, and no body.
func Declared(format string, n int) Sender {
	return func(conn net.Conn, _ bool) { _, _ = io.WriteString(conn, header(format, n)) }
}

// HalfHeader sends a header of nearly the largest legal size without its end.
func HalfHeader(conn net.Conn, _ bool) {
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("a", halfHeaderBytes))
}

// Unread sends requests for a duration, and reads no response.
func Unread(request string, d time.Duration) Sender {
	many := strings.Repeat(request, 64)
	return func(conn net.Conn, _ bool) {
		_ = conn.SetWriteDeadline(time.Now().Add(d))
		for {
			if _, err := io.WriteString(conn, many); err != nil {
				return
			}
		}
	}
}
