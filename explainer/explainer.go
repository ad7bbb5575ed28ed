// Package explainer picks the lines of one request out of the collected logs of
// many hosts and puts them in order.
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
	// usualLine is the room for a log line at first, in bytes.
	usualLine = 64 << 10
	// maxLine bounds a log line, in bytes.
	maxLine = 1 << 20
)

// Line is a log line about a request.
type Line struct {
	At      time.Time
	Host    string
	Message string
	Fields  map[string]any
}

// String formats the line for reading.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-18s %s", l.At.Format("15:04:05.000"), l.Host, l.Message)
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}

// Read returns the lines that name an ID, in no order. Text before the first
// brace of a line, such as a collector's own time, is skipped.
func Read(from io.Reader, id string) ([]Line, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, usualLine), maxLine)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(id)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(text[start:], &fields) != nil {
			// A line of another program, or one that was cut when its host died.
			continue
		}
		lines = append(lines, lineOf(fields))
	}
	return lines, scanner.Err()
}

func lineOf(fields map[string]any) Line {
	take := func(key string) string {
		value, _ := fields[key].(string)
		delete(fields, key)
		return value
	}
	l := Line{Message: take("@message"), Host: take("@module"), Fields: fields}
	// A line without a time is shown first.
	l.At, _ = time.Parse(time.RFC3339Nano, take("@timestamp"))
	delete(fields, "@level")
	return l
}

// Sort puts lines in order of time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host)) })
}
