package assembler

import (
	"net/http"

	"briarspring/admitter"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
	"briarspring/launcher"
	"briarspring/operator"
	"briarspring/steward"
)

// addOperators adds the port of the operators' calls. A host serves its callers
// without one.
func addOperators(l *launcher.Launcher, c HostConfig, intake *admitter.Admitter, stewards map[string]*steward.Steward) {
	if c.OperatorsAddr == "" {
		return
	}
	owners := map[string]operator.Owner{}
	for name, s := range stewards {
		owners[name] = s
	}
	mux := http.NewServeMux()
	mux.Handle(briarspringv1connect.NewWorkflowsHandler(operator.NewWorkflowServer(intake, owners)))
	part, err := newHTTPPart(c.OperatorsAddr, mux, c.Logger)
	if err != nil {
		c.Logger.Error("operators' calls are not served", "address", c.OperatorsAddr, "error", err)
		return
	}
	l.Add("operators", part)
}
