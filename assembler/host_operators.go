package assembler

import (
	"net/http"

	"briarspring/admitter"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
	"briarspring/launcher"
	"briarspring/operator"
	"briarspring/steward"
)

// addOperators adds the server for the operators' calls. A host keeps serving
// callers if it can't listen on the port.
func addOperators(l *launcher.Launcher, c HostConfig, intake *admitter.Admitter, owners map[string]*steward.Owner) {
	if c.OperatorsAddr == "" {
		return
	}
	served := map[string]operator.RunLister{}
	for name, s := range owners {
		served[name] = s
	}
	mux := http.NewServeMux()
	mux.Handle(briarspringv1connect.NewWorkflowsHandler(operator.NewWorkflowServer(intake, served), c.doors.callOptions()...))
	part, err := newHTTPPart(c.OperatorsAddr, c.doors.buffered(operatorsDoor, mux), c.doors.protect(operatorsDoor), c.Logger)
	if err != nil {
		c.Logger.Error("operators' calls are not served", "address", c.OperatorsAddr, "error", err)
		return
	}
	l.Add("operators", part)
}
