package demonstrator_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/demonstrator"
)

// TestExample runs an organisation's workloads in one process, where the race
// detector sees every part.
func TestExample(t *testing.T) {
	organisation := demonstrator.Organisations["kask"]
	logs, err := os.Create(filepath.Join(t.ArtifactDir(), "hosts.log"))
	require.NoError(t, err)
	defer logs.Close()
	d, err := demonstrator.New(demonstrator.Config{
		Organisation: organisation, EntryHosts: 2, Workers: 4, Logs: logs, LogLevel: "info",
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go d.Run(ctx)
	var out bytes.Buffer
	assert.NoError(t, demonstrator.Example(ctx, d, organisation, &out), out.String())
	t.Log(out.String())
	cancel()
	<-d.Done()
}
