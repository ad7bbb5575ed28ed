// Package encoder maps domain types to and from their protobuf messages by
// hand, and records of the platform's log to and from bytes.
package encoder

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

// MalformedError is the error for input bytes that can't be decoded.
type MalformedError struct {
	Input string // Kind of the input, such as "record".
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("malformed %s: %v", e.Input, e.Cause) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

func malformed(what, format string, args ...any) error {
	return &MalformedError{Input: what, Cause: fmt.Errorf(format, args...)}
}

// EncodeRecord encodes a log record.
func EncodeRecord(r briarspring.Record) ([]byte, error) {
	m := &pb.Record{
		Writer:      r.Writer.Name,
		Incarnation: r.Writer.Incarnation,
		Sequence:    r.Sequence,
	}
	if err := encodeBody(m, r.Body); err != nil {
		return nil, err
	}
	return proto.Marshal(m)
}

func encodeBody(m *pb.Record, body briarspring.Body) error {
	switch b := body.(type) {
	case briarspring.Command:
		c, err := encodeCommand(b)
		if err != nil {
			return err
		}
		m.Body = &pb.Record_Command{Command: c}
	case briarspring.Summary:
		m.Body = &pb.Record_Summary{Summary: EncodeSummary(b)}
	case briarspring.Transfer:
		m.Body = &pb.Record_Transfer{Transfer: encodeTransfer(b)}
	case briarspring.Batch:
		batch, err := encodeBatch(b)
		if err != nil {
			return err
		}
		m.Body = &pb.Record_Batch{Batch: batch}
	case briarspring.SnapshotChunk:
		m.Body = &pb.Record_Snapshot{Snapshot: &pb.SnapshotChunk{
			Covers: b.Covers, Index: b.Index, Count: b.Count, Data: b.Data, Checksum: b.Checksum,
		}}
	default:
		return malformed("record", "body of type %T", body)
	}
	return nil
}

// DecodeRecord decodes a log record; errors are *MalformedError.
func DecodeRecord(data []byte) (briarspring.Record, error) {
	var m pb.Record
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.Record{}, &MalformedError{Input: "record", Cause: err}
	}
	r := briarspring.Record{
		Writer:   briarspring.Writer{Name: m.GetWriter(), Incarnation: m.GetIncarnation()},
		Sequence: m.GetSequence(),
	}
	body, err := decodeBody(&m)
	if err != nil {
		return briarspring.Record{}, err
	}
	r.Body = body
	return r, nil
}

func decodeBody(m *pb.Record) (briarspring.Body, error) {
	switch b := m.GetBody().(type) {
	case *pb.Record_Command:
		return decodeCommand(b.Command)
	case *pb.Record_Summary:
		return DecodeSummary(b.Summary), nil
	case *pb.Record_Transfer:
		return decodeTransfer(b.Transfer), nil
	case *pb.Record_Batch:
		return decodeBatch(b.Batch)
	case *pb.Record_Snapshot:
		s := b.Snapshot
		return briarspring.SnapshotChunk{
			Covers: s.GetCovers(), Index: s.GetIndex(), Count: s.GetCount(),
			Data: s.GetData(), Checksum: s.GetChecksum(),
		}, nil
	}
	return nil, malformed("record", "unknown or missing body")
}

// Checksum returns the checksum of a snapshot, to detect corruption.
func Checksum(data []byte) uint64 { return xxhash.Sum64(data) }
