package assembler

import (
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "briarspring/gen/briarspring/v1"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
)

// Guards against calls whose messages take far more than their bodies.
func TestCountElements(t *testing.T) {
	steps, err := proto.Marshal(&pb.SubmitWorkflowRequest{Steps: []*pb.WorkflowStep{{}, {Tasks: 1, After: []int32{0}}}})
	require.NoError(t, err)
	envelope := append([]byte{0, 0, 0, 0, byte(len(steps))}, steps...)
	for _, c := range []struct {
		name, contentType, body string
		want                    int
	}{
		{"binary", "application/proto", string(steps), 2},
		{"enveloped", "application/grpc-web+proto", string(envelope), 2},
		{"truncated", "application/proto", string(steps[:len(steps)-1]), 1},
		{"JSON", "application/json", `{"steps":[{},{"image":"a{\"{b"}]}`, 3},
		{"empty", "application/proto", "", 0},
		{"short envelope", "application/connect+proto", "a", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, countElements(c.contentType, []byte(c.body)))
		})
	}
}

// Guards against compressed messages that nothing bounds: bodies are expanded within
// the limits, and messages of the protocols of streams are refused.
func TestCompressedCalls(t *testing.T) {
	_, h := briarspringv1connect.NewOperatorsHandler(briarspringv1connect.UnimplementedOperatorsHandler{}, callOptions()...)
	server := httptest.NewServer(bufferedCalls(h, 1<<20))
	defer server.Close()
	call := func(options ...connect.ClientOption) error {
		c := briarspringv1connect.NewOperatorsClient(server.Client(), server.URL, append(options, connect.WithSendGzip())...)
		_, err := c.DescribeJob(t.Context(), connect.NewRequest(&pb.DescribeRequest{Name: "archive"}))
		return err
	}
	assert.Equal(t, connect.CodeUnimplemented, connect.CodeOf(call()), "the handler is called")
	assert.ErrorContains(t, call(connect.WithGRPCWeb()), (&CompressedCallError{}).Error())
}
