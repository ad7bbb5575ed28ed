package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/demonstrator"
	"briarspring/encoder"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
	"briarspring/operator"
	"briarspring/registrar"
)

// ctl runs a workflow command and returns its output, or its error, and its exit
// code.
func ctl(t *testing.T, address string, args ...string) (string, int) {
	t.Helper()
	var c cli
	parser, err := kong.New(&c, kong.Name("briarspring"))
	require.NoError(t, err)
	ctx, err := parser.Parse(append([]string{"ctl", "--address", address, "workflow"}, args...))
	require.NoError(t, err)
	read, write, err := os.Pipe()
	require.NoError(t, err)
	before := os.Stdout
	os.Stdout = write
	err = ctx.Run()
	os.Stdout = before
	write.Close()
	out, readErr := io.ReadAll(read)
	require.NoError(t, readErr)
	if err != nil {
		return err.Error(), exitCode(err)
	}
	return string(out), 0
}

// TestWorkflowCommands runs the commands on workflows against hosts in this
// process.
func TestWorkflowCommands(t *testing.T) {
	d, err := demonstrator.New(demonstrator.Config{
		Organisation: demonstrator.Organisations["kask"], EntryHosts: 1, Workers: 2, Logs: io.Discard, LogLevel: "error",
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go d.Run(ctx)
	defer func() {
		cancel()
		<-d.Done()
	}()
	host, other := d.DataCentres()[0].Hosts[0], d.DataCentres()[1].Hosts[0]
	require.Eventually(t, func() bool {
		_, code := ctl(t, host, "queues")
		return code == 0
	}, 20*time.Second, 100*time.Millisecond)
	const file = "../../examples/bundle.workflow.ini"
	t.Run("submit, wait and describe", func(t *testing.T) {
		out, code := ctl(t, host, "submit", file)
		assert.Zero(t, code, out)
		assert.Contains(t, out, "workflow/bundle-1: accepted, runs in ")
		out, code = ctl(t, other, "wait", "bundle-1", "--limit", "60s")
		assert.Zero(t, code, out)
		out, _ = ctl(t, other, "describe", "bundle-1")
		assert.Regexp(t, `phase +completed`, out)
		assert.Contains(t, out, "at most 2 on a worker")
		assert.Contains(t, out, "fills idle processors")
	})
	t.Run("list, runs and owners", func(t *testing.T) {
		out, _ := ctl(t, host, "list", "--queue", "season", "--phase", "completed")
		assert.Contains(t, out, "bundle-1")
		out, _ = ctl(t, host, "owners")
		assert.Contains(t, out, "tartu-host0")
		_, code := ctl(t, host, "runs")
		assert.Zero(t, code)
		out, _ = ctl(t, host, "queues")
		assert.Contains(t, out, "2 x chain + 1s")
	})
	t.Run("cancel", func(t *testing.T) {
		_, code := ctl(t, host, "submit", file, "--id", "bundle-2")
		assert.Zero(t, code)
		out, code := ctl(t, other, "cancel", "bundle-2", "--yes")
		assert.Zero(t, code, out)
		out, code = ctl(t, other, "wait", "bundle-2", "--limit", "30s")
		assert.Equal(t, exitFailure, code)
		assert.Contains(t, out, "bundle-2 is cancelled")
		_, code = ctl(t, other, "cancel", "none", "--yes")
		assert.Equal(t, exitFailure, code)
	})
}

// oneWorkflow is an admitter with one workflow of an organisation.
type oneWorkflow struct {
	operator.Admitter
	registry *registrar.Registry
}

func (o oneWorkflow) ReadRegistry(f func(*registrar.Registry)) { f(o.registry) }

// Guards against operators who can't see on the command line whose a workflow is.
func TestDescribeWorkflowOfAnOrganisation(t *testing.T) {
	o := oneWorkflow{registry: registrar.New()}
	value, err := encoder.EncodeSubmission(&briarspring.Workflow{Organisation: "acme", Steps: []briarspring.Step{{Tasks: 1}}})
	require.NoError(t, err)
	_, err = o.registry.Apply(0, briarspring.KeyedRecord{Key: registrar.SubmissionKey("w", "1"), Value: value})
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(briarspringv1connect.NewWorkflowsHandler(operator.NewWorkflowServer(o, nil)))
	server := httptest.NewServer(mux)
	defer server.Close()
	out, code := ctl(t, server.Listener.Addr().String(), "describe", "w")
	assert.Zero(t, code, out)
	assert.Regexp(t, `organisation +acme`, out)
}
