package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	soundConfiguration = `{"version":2,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","service":"s","stretch":1,"targetLatencyMs":5}],
		"tenants":[{"name":"a","apiKeys":["k-secret-1"]}]}`
	doubtfulConfiguration = `{"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","service":"s"}],
		"tenants":[{"name":"a","apiKeys":["k-secret-2","k-secret-3"]}]}`
)

func configurationFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func assertCheck(t *testing.T, c checkConfigurationCmd, code int) string {
	t.Helper()
	var out bytes.Buffer
	err := c.run(&out)
	got := 0
	if err != nil {
		got = exitCode(err)
	}
	assert.Equal(t, code, got, "%v", err)
	assert.NotContains(t, out.String(), "k-secret")
	return out.String()
}

// Guards against exit codes that don't tell the level of the findings.
func TestCheckConfigurationExitCodes(t *testing.T) {
	assertCheck(t, checkConfigurationCmd{File: configurationFile(t, soundConfiguration)}, 0)
	assertCheck(t, checkConfigurationCmd{File: configurationFile(t, doubtfulConfiguration)}, exitWarnings)
	assertCheck(t, checkConfigurationCmd{File: configurationFile(t, `{`)}, exitErrors)
	assertCheck(t, checkConfigurationCmd{File: filepath.Join(t.TempDir(), "none")}, exitErrors)
	assertCheck(t, checkConfigurationCmd{File: configurationFile(t, soundConfiguration), Task: map[string]int64{"x": 1}}, exitErrors)
}

// Guards against a comparison that shows keys, or whose JSON has other names than
// documented.
func TestCheckConfigurationDifference(t *testing.T) {
	c := checkConfigurationCmd{File: configurationFile(t, doubtfulConfiguration), Against: configurationFile(t, soundConfiguration)}
	text := assertCheck(t, c, exitWarnings)
	assert.Contains(t, text, "version 2 -> 3\n~ queue \"r\"\n    stretch: 1 -> 0\n    target-latency: 5ms -> 0s\n~ organisation \"a\"\n    keys: 2 added, 1 removed\n")
	c.JSON = true
	var m map[string]any
	require.NoError(t, json.Unmarshal([]byte(assertCheck(t, c, exitWarnings)), &m))
	difference, _ := m["difference"].(map[string]any)
	assert.Equal(t, []any{map[string]any{"change": "changed", "name": "a", "keys-added": 2.0, "keys-removed": 1.0}}, difference["organisations"])
	assert.Equal(t, 3.0, difference["version-after"])
}
