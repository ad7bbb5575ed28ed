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
	Settings string `arg:"" optional:"" help:"Settings file; defaults to the one that the platform names."`
	Metrics  int    `default:"9464" help:"Port of the metrics endpoint, on the IP address that serves callers; 0 disables it."`
	Level    string `default:"info" enum:"trace,debug,info,warn,error" help:"Minimum log level."`
}

const (
	// hostGCPercent is lower than gcPercent: the heap is a few megabytes, but
	// memory is scarcer on a host than CPU time.
	hostGCPercent = 200
	// memoryLimitFraction is the fraction of the host's memory limit above which
	// garbage is collected more often.
	memoryLimitFraction = 0.6
	// maxHeapBytes is the same for hosts with more memory than the design allows a
	// node: 128 MB, less what connections and stacks take.
	maxHeapBytes = 112 << 20
	// exitReserve is the part of the stop grace period that is reserved for
	// exiting the process.
	exitReserve = 700 * time.Millisecond
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
	debug.SetMemoryLimit(min(maxHeapBytes, int64(float64(settings.MemoryLimit)*memoryLimitFraction)))
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
		MaxLease: s.MaxLease, StopTime: s.StopGrace - exitReserve, FinalRetention: s.FinalRetention, CallersAddr: s.CallersAddr, ReadyAddr: s.ReadyAddr,
		MetricsAddr: c.metricsAddr(s), OperatorsAddr: s.OperatorsAddr, MaxRecordBytes: s.MaxRecordBytes,
		RevokeTime: s.RevokeTime, FarMultiplier: s.FarMultiplier, MakeRoom: s.MakeRoom,
		Store:          platform.NewStore(platform.StoreConfig{Address: s.StoreAddr, WriteRate: s.WriteRate, ReadRate: s.ReadRate}),
		Workers:        platform.NewWorkers(),
		Decoder:        platform.Decoder{},
		CallersHandler: func(a *admitter.Admitter) http.Handler { return platform.NewJobHandler(a, logger) },
		ReadyHandler: func(a *admitter.Admitter, draining func() bool) http.Handler {
			return platform.NewReadinessHandler(a, draining)
		},
		Clients: assembler.ClientLimits(s.Clients), Now: timekeeper.BootTime, Logger: logger, LogWriter: logs,
	}
}

// metricsAddr returns the address of the metrics endpoint, which shares its IP
// address with the callers' endpoint. It is empty if metrics are disabled.
func (c *hostCmd) metricsAddr(s platform.Settings) string {
	ip, _, err := net.SplitHostPort(s.CallersAddr)
	if err != nil || c.Metrics == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(c.Metrics))
}

// watchReload validates the settings file on SIGHUP and logs the result. All
// settings are read once at startup, so changes take effect after a restart.
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
				logger.Error("changed settings file is invalid", "error", err)
				continue
			}
			logger.Info("settings file changed; it takes effect at the next start")
		}
	}()
}
