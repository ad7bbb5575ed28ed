package assembler

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"

	"briarspring/dispatcher"
)

// Guards against an event that is counted and not published.
func TestCountersOf(t *testing.T) {
	var c dispatcher.Counters
	v := reflect.ValueOf(&c).Elem()
	var want []uint64
	for i := range v.NumField() {
		v.Field(i).SetUint(uint64(i + 1))
		want = append(want, uint64(i+1))
	}
	var published []uint64
	for _, n := range countersOf(c) {
		published = append(published, n)
	}
	assert.ElementsMatch(t, want, published)
}
