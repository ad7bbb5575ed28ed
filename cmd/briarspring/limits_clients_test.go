package main

import (
	"bytes"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "briarspring/gen/briarspring/v1"
	"briarspring/stressor"
)

const (
	// limitsClients is the number of clients of each kind. Their bodies together are
	// 100 MiB, and with the buffers that an unlimited process grows for them, and the
	// connections, above limitsBounds.
	limitsClients = 400
	// limitsBodyBytes is the largest legal body.
	limitsBodyBytes = 256 << 10
	// adminBodyBytes is a size up to which the server discards a body that a handler
	// doesn't read.
	adminBodyBytes = limitsBodyBytes - 1<<10
	// limitsExpandedBytes is the size of a body that is sent compressed. It is small
	// when compressed, so that some clients exceed limitsBounds.
	limitsExpandedBytes   = 32 << 20
	limitsExpandedClients = 8
	// limitsUnreadTime is how long clients that don't read their responses keep
	// sending requests.
	limitsUnreadTime = time.Second
)

const (
	requestEnd       = " HTTP/1.1\r\nHost: a\r\n"
	lengthEnd        = "Content-Length: %d\r\n\r\n"
	chunkedEnd       = "Transfer-Encoding: chunked\r\n\r\n"
	callersHeader    = "POST /ledger/read" + requestEnd
	adminHeader      = "GET /debug/vars" + requestEnd
	jsonHeader       = "POST /briarspring.v1.Operators/ListJobs" + requestEnd + "Content-Type: application/json\r\n"
	compressedHeader = jsonHeader + "Content-Encoding: gzip\r\n" + lengthEnd
	binaryHeader     = "POST /briarspring.v1.Operators/CancelJobs" + requestEnd + "Content-Type: application/proto\r\n"
)

// limitsKind is a kind of client.
type limitsKind struct {
	name    string
	clients int
	send    stressor.Sender
}

// bodyKinds are the clients that send bodies, most of them not to the end.
func bodyKinds(header string, body []byte) []limitsKind {
	length, chunked := header+lengthEnd, header+chunkedEnd
	large, small := stressor.Chunked(body, len(body)), stressor.Chunked(body, 4)
	return []limitsKind{
		{"whole-bodies", limitsClients, stressor.Body(length, body)},
		{"bodies-in-pieces", limitsClients, stressor.Pieces(length, body)},
		{"one-chunk", limitsClients, stressor.Body(chunked, large)},
		{"small-chunks", limitsClients, stressor.Body(chunked, small)},
		{"chunks-in-pieces", limitsClients, stressor.Pieces(chunked, small)},
		{"declared-only", limitsClients, stressor.Declared(length, len(body))},
	}
}

// headerKinds are the clients that don't send a whole header, or don't read.
func headerKinds(request string) []limitsKind {
	return []limitsKind{
		{"silent", limitsClients, stressor.Silent},
		{"half-headers", limitsClients, stressor.HalfHeader},
		{"unread-responses", limitsClients, stressor.Unread(request, limitsUnreadTime)},
	}
}

func callersKinds() []limitsKind {
	return append(bodyKinds(callersHeader, bytes.Repeat([]byte("a"), limitsBodyBytes)),
		headerKinds("GET /nothing"+requestEnd+"\r\n")...)
}

func adminKinds() []limitsKind {
	return append(bodyKinds(adminHeader, bytes.Repeat([]byte("a"), adminBodyBytes)),
		headerKinds(adminHeader+"\r\n")...)
}

func operatorsKinds() []limitsKind {
	kinds := append(bodyKinds(jsonHeader, jsonMessage(limitsBodyBytes)),
		headerKinds(jsonHeader+"Content-Length: 2\r\n\r\n{}")...)
	return append(kinds,
		limitsKind{"compressed-bodies", limitsExpandedClients, stressor.Whole(compressedHeader, stressor.Compressed(jsonMessage(limitsExpandedBytes)))},
		limitsKind{"many-names", limitsClients, stressor.Whole(binaryHeader+lengthEnd, manyNames())},
	)
}

// calmRequests returns single requests of the largest legal size.
func calmRequests(header string, body []byte) []stressor.Sender {
	return []stressor.Sender{
		stressor.Body(header+lengthEnd, body),
		stressor.Pieces(header+lengthEnd, body),
		stressor.Body(header+chunkedEnd, stressor.Chunked(body, len(body))),
		stressor.Body(header+chunkedEnd, stressor.Chunked(body, 4)),
	}
}

// jsonMessage returns an empty message of n bytes.
func jsonMessage(n int) []byte { return []byte("{" + strings.Repeat(" ", n-2) + "}") }

// manyNames returns a call of the largest legal size with as many names as fit.
func manyNames() []byte {
	const nameBytes = 2 // Of an empty name.
	message, err := proto.Marshal(&pb.CancelJobsRequest{Names: make([]string, limitsBodyBytes/nameBytes)})
	if err != nil {
		panic(err) // The message is valid.
	}
	return message
}
