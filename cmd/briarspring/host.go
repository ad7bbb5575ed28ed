package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring/admitter"
	"briarspring/assembler"
	"briarspring/launcher"
	"briarspring/platform"
	"briarspring/recorder"
	"briarspring/timekeeper"
)

type hostCmd struct {
	Settings string `arg:"" optional:"" help:"Settings file; the one that the platform names by default."`
	Metrics  int    `default:"9464" help:"Port of the metrics, at the address of the front; 0 for none."`
	Level    string `default:"info" enum:"trace,debug,info,warn,error" help:"Least level of log lines."`
}

const (
	// hostGCPercent of a heap of a few megabytes; memory is scarcer here than
	// processor time.
	hostGCPercent = 200
	// memoryShare of the host's limit from which collections become eager.
	memoryShare = 0.6
	// exitTime is kept of the grace for ending the process.
	exitTime = 700 * time.Millisecond
)

// Run runs a host until SIGTERM or SIGINT.
func (c *hostCmd) Run() error {
	path, err := platform.SettingsPath(c.Settings)
	if err != nil {
		return err
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(hostGCPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryShare))
	logs := recorder.New(os.Stdout)
	logger := hclog.New(&hclog.LoggerOptions{
		Name: settings.Host, Level: hclog.LevelFromString(c.Level), Output: logs, JSONFormat: true,
	})
	l, err := assembler.NewHost(c.hostConfig(settings, logger, logs))
	if err != nil {
		return err
	}
	logger.Info("starts", "host", settings.Host, "data-centre", settings.DataCentre, "store", settings.StoreAddr, "milli-cpu", settings.MilliCPU)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	watchReload(ctx, path, logger)
	l.Run(ctx)
	return nil
}

func (c *hostCmd) hostConfig(s platform.Settings, logger hclog.Logger, logs launcher.Part) assembler.HostConfig {
	return assembler.HostConfig{
		Host: s.Host, DataCentre: s.DataCentre, DataCentres: s.DataCentres, MilliCPU: s.MilliCPU,
		MaxLease: s.MaxLease, StopTime: s.StopGrace - exitTime, KeepFinal: s.KeepFinal, FrontAddr: s.FrontAddr, ReadyAddr: s.ReadyAddr,
		MetricsAddr: c.metricsAddr(s), OperatorsAddr: s.OperatorsAddr,
		Store:   platform.NewStore(platform.StoreConfig{Address: s.StoreAddr, WriteRate: s.WriteRate, ReadRate: s.ReadRate}),
		Workers: platform.NewWorkers(),
		Decoder: platform.Decoder{},
		Front:   func(a *admitter.Admitter) http.Handler { return platform.NewFront(a, logger) },
		Ready: func(a *admitter.Admitter, draining func() bool) http.Handler {
			return platform.NewReady(a, draining)
		},
		Now: timekeeper.BootTime, Logger: logger, Logs: logs,
	}
}

// metricsAddr returns where metrics are served: beside the front.
func (c *hostCmd) metricsAddr(s platform.Settings) string {
	ip, _, err := net.SplitHostPort(s.FrontAddr)
	if err != nil || c.Metrics == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(c.Metrics))
}

// watchReload checks the settings file when it has changed. Every setting that
// a host uses is bound to its life, so changes take effect with the next one.
func watchReload(ctx context.Context, path string, logger hclog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			}
			if _, err := platform.LoadSettings(path); err != nil {
				logger.Error("changed settings are not used", "error", err)
				continue
			}
			logger.Info("settings file changed; it takes effect at the next start")
		}
	}()
}
