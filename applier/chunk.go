package applier

import (
	"briarspring"
	"briarspring/encoder"
)

// ChunkSize is the maximum number of snapshot bytes in one record.
const ChunkSize = 256 << 10

// maxChunks bounds the memory for the chunks of one snapshot.
const maxChunks = 4096

// Chunks splits a snapshot into record bodies; covers is the offset of the last
// record that the snapshot includes.
func Chunks(covers uint64, data []byte) []briarspring.SnapshotChunk {
	sum := encoder.Checksum(data)
	count := uint32((len(data) + ChunkSize - 1) / ChunkSize)
	count = max(count, 1)
	chunks := make([]briarspring.SnapshotChunk, 0, count)
	for i := range count {
		part := data[int(i)*ChunkSize : min(len(data), int(i+1)*ChunkSize)]
		chunks = append(chunks, briarspring.SnapshotChunk{
			Covers: covers, Index: i, Count: count, Data: part, Checksum: sum,
		})
	}
	return chunks
}

// Collector reassembles snapshots from their chunks. Chunks of several writers
// may be interleaved in a stream.
type Collector struct {
	parts map[collectorKey][]briarspring.SnapshotChunk
}

type collectorKey struct {
	writer briarspring.Writer
	covers uint64
	sum    uint64
}

// Add adds one chunk. It returns the snapshot and true when the chunk completes
// it and the checksum matches.
func (c *Collector) Add(writer briarspring.Writer, chunk briarspring.SnapshotChunk) ([]byte, bool) {
	if chunk.Index >= chunk.Count || chunk.Count > maxChunks {
		return nil, false
	}
	if c.parts == nil {
		c.parts = map[collectorKey][]briarspring.SnapshotChunk{}
	}
	key := collectorKey{writer: writer, covers: chunk.Covers, sum: chunk.Checksum}
	parts := c.parts[key]
	if int(chunk.Index) != len(parts) {
		// A chunk is missing or repeated. Only chunks in order are usable, so
		// collecting starts over at the first one.
		if chunk.Index != 0 {
			return nil, false
		}
		parts = nil
	}
	parts = append(parts, chunk)
	c.parts[key] = parts
	if uint32(len(parts)) < chunk.Count {
		return nil, false
	}
	delete(c.parts, key)
	var data []byte
	for _, p := range parts {
		data = append(data, p.Data...)
	}
	return data, encoder.Checksum(data) == chunk.Checksum
}
