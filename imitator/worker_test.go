package imitator

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSumSlowdown(t *testing.T) {
	quiet := []float64{0.02, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02}
	mixed := []float64{0.4 * 0.25, 0.02, 0.02, 0.02, 0.02, 0.02}
	t.Run("a sum of decimal shares is exact", func(t *testing.T) {
		assert.Equal(t, 1.2, sumSlowdown(quiet))
		assert.Equal(t, 1.2, sumSlowdown(mixed))
	})
	t.Run("the order of the tasks makes no difference", func(t *testing.T) {
		assert.Equal(t, sumSlowdown([]float64{0.1, 0.2, 0.3}), sumSlowdown([]float64{0.3, 0.2, 0.1}))
	})
	t.Run("a sum above a bound stays above it", func(t *testing.T) {
		assert.Greater(t, sumSlowdown(append(quiet, 0.0001)), 1.2)
	})
	t.Run("nothing beside it", func(t *testing.T) {
		assert.Equal(t, 1.0, sumSlowdown(nil))
	})
}
