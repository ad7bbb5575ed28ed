// Package explainer finds the lines of one request in the collected logs of many
// hosts and sorts them by time.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// initialLineBytes is the initial size of the line buffer.
	initialLineBytes = 64 << 10
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
)

// Line is a log line about a request.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	Fields  map[string]any
}

// String formats the line for people to read.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-18s %s", l.Time.Format("15:04:05.000"), l.Host, l.Message)
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}

// Read returns the JSON log lines that contain an ID, in input order. Text before
// the first brace of a line, such as a collector's timestamp, is skipped.
func Read(from io.Reader, id string) ([]Line, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(id)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(text[start:], &fields) != nil {
			// A line of another program, or one that was truncated when its host died.
			continue
		}
		lines = append(lines, parseLine(fields))
	}
	return lines, scanner.Err()
}

func parseLine(fields map[string]any) Line {
	take := func(key string) string {
		value, _ := fields[key].(string)
		delete(fields, key)
		return value
	}
	l := Line{Message: take("@message"), Host: take("@module"), Fields: fields}
	// A line without a timestamp has the zero time and sorts first.
	l.Time, _ = time.Parse(time.RFC3339Nano, take("@timestamp"))
	delete(fields, "@level")
	return l
}

// Sort sorts lines by time, then by host.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host)) })
}
