package explainer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/explainer"
)

const logs = `
  15.2 host-2 {"@level":"info","@message":"start","@module":"host-2","@timestamp":"2026-07-15T12:16:05.100000Z","workflow":"aa","worker":"w1"}
{"@level":"info","@message":"submission","@module":"host-1","@timestamp":"2026-07-15T12:16:05.000000Z","workflow":"aa","stored":true}
{"@level":"info","@message":"submission","@module":"host-1","@timestamp":"2026-07-15T12:16:05.000000Z","workflow":"bb","stored":true}
aa without braces
{"aa": cut
`

func TestRead(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(logs), "aa")
	require.NoError(t, err)
	explainer.Sort(lines)
	require.Len(t, lines, 2)
	assert.Equal(t, "12:16:05.000 host-1             submission stored=true workflow=aa", lines[0].String())
	assert.Equal(t, "start", lines[1].Message)
}
