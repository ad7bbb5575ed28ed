package encoder

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"io"

	"briarspring"
)

const (
	// directoryCopyFormat is the first byte of a copy, so that the format can change.
	directoryCopyFormat = 1
	// maxDirectoryBytes bounds the decompressed value of a copy.
	maxDirectoryBytes = 4 << 20
)

// EncodeDirectoryCopy encodes the offset and the value of a record of the directory
// stream. Large directories list hundreds of similar queues, so the value is
// compressed.
func EncodeDirectoryCopy(r briarspring.KeyedRecord) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(binary.AppendUvarint([]byte{directoryCopyFormat}, r.Offset))
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(r.Value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// DecodeDirectoryCopyOffset returns the offset of the copied record in the directory
// stream; errors are *MalformedError.
func DecodeDirectoryCopyOffset(data []byte) (uint64, error) {
	offset, _, err := cutDirectoryCopy(data)
	return offset, err
}

// DecodeDirectoryCopy returns the copied record with the given key; errors are
// *MalformedError.
func DecodeDirectoryCopy(key string, data []byte) (briarspring.KeyedRecord, error) {
	offset, compressed, err := cutDirectoryCopy(data)
	if err != nil {
		return briarspring.KeyedRecord{}, err
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDirectoryBytes+1))
	if err == nil && len(value) > maxDirectoryBytes {
		err = errors.New("too large")
	}
	if err != nil {
		return briarspring.KeyedRecord{}, &MalformedError{Input: "directory copy", Cause: err}
	}
	return briarspring.KeyedRecord{Key: key, Value: value, Offset: offset}, nil
}

func cutDirectoryCopy(data []byte) (offset uint64, compressed []byte, err error) {
	if len(data) == 0 || data[0] != directoryCopyFormat {
		return 0, nil, &MalformedError{Input: "directory copy", Cause: errors.New("unknown format")}
	}
	offset, n := binary.Uvarint(data[1:])
	if n <= 0 {
		return 0, nil, &MalformedError{Input: "directory copy", Cause: errors.New("no offset")}
	}
	return offset, data[1+n:], nil
}
