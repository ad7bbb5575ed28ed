package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"briarspring/declarer"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
)

type ctlCmd struct {
	Address string        `help:"Address of the operators' port of a scheduler or a host." default:"127.0.0.1:7300" env:"BRIARSPRING_OPERATORS"`
	JSON    bool          `help:"Print JSON for scripts."`
	Timeout time.Duration `help:"Timeout of one call." default:"15s"`

	Apply       applyCmd       `cmd:"" help:"Create or change the objects in a file."`
	Diff        diffCmd        `cmd:"" help:"Show what apply would change."`
	List        listCmd        `cmd:"" help:"List objects."`
	Describe    describeCmd    `cmd:"" help:"Describe one object."`
	Delete      deleteCmd      `cmd:"" help:"Delete one object."`
	Cancel      cancelCmd      `cmd:"" help:"Cancel one or more jobs."`
	TakeOut     takeOutCmd     `cmd:"" help:"Take a data centre out of service."`
	Return      returnCmd      `cmd:"" help:"Return a data centre to service."`
	DeclareLost declareLostCmd `cmd:"" help:"Declare that a worker will never run its tasks again."`
	Explain     explainCmd     `cmd:"" help:"Show where a task is, why it waits, and the latest decisions about it."`
	Watch       watchCmd       `cmd:"" help:"Print scheduling decisions as they are made."`
	Wait        waitCmd        `cmd:"" help:"Wait until jobs have ended."`
	Workflow    workflowCmd    `cmd:"" help:"Commands for workflows; every host serves them."`
}

// session holds the client, the output format and the streams of one command.
type session struct {
	client  briarspringv1connect.OperatorsClient
	json    bool
	timeout time.Duration
	out     io.Writer
	in      io.Reader
}

func (c *ctlCmd) session() *session {
	return &session{
		client: briarspringv1connect.NewOperatorsClient(http.DefaultClient, "http://"+c.Address),
		json:   c.JSON, timeout: c.Timeout, out: os.Stdout, in: os.Stdin,
	}
}

// DeclinedError means that the operator did not confirm a change.
type DeclinedError struct{}

// Error implements error.
func (*DeclinedError) Error() string { return "not confirmed, nothing was changed" }

func ctlExitCode(err error) int {
	var object *declarer.ObjectError
	var declined *DeclinedError
	var rpc *connect.Error
	switch {
	case errors.As(err, &object), errors.As(err, &declined):
		return exitUsage
	case errors.As(err, &rpc):
		switch rpc.Code() {
		case connect.CodeInvalidArgument:
			return exitUsage
		case connect.CodeAborted, connect.CodeAlreadyExists:
			return exitConflict
		case connect.CodeDeadlineExceeded, connect.CodeCanceled:
			return exitUnknown
		}
	}
	return exitFailure
}

// newRequestID returns a random ID that makes retries of a change idempotent.
func newRequestID() string {
	b := make([]byte, 12)
	rand.Read(b) //nolint:errcheck // Never fails.
	return "ctl-" + hex.EncodeToString(b)
}

const (
	changeAttempts   = 5
	changeRetryDelay = 300 * time.Millisecond
)

// change makes a mutating call. While it is unknown whether the change took
// effect, it retries with the same request ID.
func change[Q, A any](s *session, call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), m *Q) (*A, error) {
	var lastErr error
	for range changeAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
		answer, err := call(ctx, connect.NewRequest(m))
		cancel()
		if err == nil {
			return answer.Msg, nil
		}
		lastErr = err
		code := connect.CodeOf(err)
		if code != connect.CodeUnavailable && code != connect.CodeDeadlineExceeded {
			break
		}
		time.Sleep(changeRetryDelay)
	}
	return nil, lastErr
}

// query makes a read-only call.
func query[Q, A any](s *session, call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), m *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	answer, err := call(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// confirm asks the operator to confirm a destructive call, unless yes is set.
func (s *session) confirm(yes bool, what string) error {
	if yes {
		return nil
	}
	fmt.Fprintf(os.Stderr, "%s? Type yes: ", what)
	line, _ := bufio.NewReader(s.in).ReadString('\n')
	if strings.TrimSpace(line) != "yes" {
		return &DeclinedError{}
	}
	return nil
}

// print prints a message as JSON, or the table that the given function writes.
func (s *session) print(m proto.Message, table func(w *tabwriter.Writer)) error {
	if s.json {
		data, err := protojson.Marshal(m)
		if err != nil {
			return err
		}
		var indented any
		if err := json.Unmarshal(data, &indented); err != nil {
			return err
		}
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return e.Encode(indented)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func writeRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
