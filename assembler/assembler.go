// Package assembler wires the parts of gateway, scheduler and host processes
// together from their settings.
package assembler

import (
	"context"
	"io"
	"os"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/certifier"
	"briarspring/connector"
	"briarspring/loader"
	"briarspring/relayer"
	"briarspring/scheduler"
)

// Platform is the part of the platform's interface that a process uses.
type Platform interface {
	scheduler.Log
	scheduler.Workers
	scheduler.Hosts
}

// Dependencies holds the external dependencies of a process. Zero fields are
// created from the settings.
type Dependencies struct {
	Platform Platform
	TLS      relayer.TLS
	Logs     io.Writer
}

// withDefaults creates missing dependencies from the settings, and the process's
// logger.
func (o Dependencies) withDefaults(s loader.Settings, role string) (Dependencies, hclog.Logger, error) {
	if o.Logs == nil {
		o.Logs = os.Stderr
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name: s.Process.Name + "-" + role, Level: hclog.LevelFromString(s.Log.Level),
		Output: o.Logs, JSONFormat: s.Log.Format == "json",
	})
	if o.Platform == nil {
		o.Platform = connector.New(connector.Config{
			LogAddress: s.Platform.LogAddress, HostsAddress: s.Platform.HostsAddress,
			Caller: s.Process.Name + "-" + role,
		})
	}
	if o.TLS == nil {
		c, err := certifier.Load(certifier.Config{
			Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority, Logger: logger,
		})
		if err != nil {
			return o, logger, err
		}
		o.TLS = c
	}
	return o, logger, nil
}

// followedStreams returns the streams that the processes of a data centre follow.
func followedStreams(dataCentre string) []string {
	return []string{briarspring.ConfigStream, briarspring.PlacementStream(dataCentre)}
}

// closeOnDone closes a resource when the context ends.
func closeOnDone(ctx context.Context, c interface{ Close() }) {
	context.AfterFunc(ctx, c.Close)
}
