// Command briarstand runs simulated parts of the platform for tests: the log, the
// host list and workers. Each has an admin port for control and fault injection.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"briarspring"
	"briarspring/imitator"
)

type cli struct {
	Log     logCmd     `cmd:"" help:"Run a simulated log."`
	Hosts   hostsCmd   `cmd:"" help:"Run a simulated host list."`
	Workers workersCmd `cmd:"" help:"Run simulated workers of one data centre."`
}

type addresses struct {
	Address string `help:"Address of the platform's protocol." required:""`
	Admin   string `help:"Address of the admin port." required:""`
}

type logCmd struct {
	addresses
	AppendsPerSecond float64       `help:"Maximum appends per second; zero for no limit." default:"300"`
	KeepRecords      int           `help:"Maximum number of records kept per stream; zero keeps all."`
	KeepFor          time.Duration `help:"Maximum age of kept records; zero keeps all."`
	Latency          time.Duration `help:"Latency added to each call." default:"0s"`
}

type hostsCmd struct {
	addresses
	Lag time.Duration `help:"Delay until a change is visible." default:"500ms"`
}

type workersCmd struct {
	addresses
	DataCentre     string        `help:"Data centre of the workers." required:""`
	HostsAdmin     string        `help:"Admin address of the host list, to register the workers there." required:""`
	Count          int           `help:"Number of workers." default:"4"`
	CPU            int64         `help:"CPU cores per worker." default:"16"`
	Memory         int64         `help:"Memory per worker in MiB." default:"61440"`
	Accelerators   int64         `help:"Accelerators per worker." default:"0"`
	PerRack        int           `help:"Workers per rack." default:"8"`
	ReportInterval time.Duration `help:"Interval between measurements." default:"1s"`
	ReportLag      time.Duration `help:"Delay until a measurement is reported." default:"1s"`
	CheckpointTime time.Duration `help:"Time that stopping a task takes." default:"50ms"`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("briarstand"), kong.Description("Simulated parts of the platform, for tests."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve serves the platform's protocol and the admin port until SIGTERM or SIGINT.
func (a addresses) serve(path string, h, admin http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	mux := http.NewServeMux()
	mux.Handle(path, h)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	failed := make(chan error, 2)
	for address, handler := range map[string]http.Handler{a.Address: mux, a.Admin: admin} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, Protocols: protocols}
		defer server.Close()
		go func() { failed <- server.Serve(listener) }()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// Run serves a simulated log.
func (c *logCmd) Run() error {
	l := imitator.NewLog(imitator.LogConfig{
		KeepRecords: c.KeepRecords, KeepFor: c.KeepFor, AppendsPerSecond: c.AppendsPerSecond,
	})
	l.SetFaults(imitator.LogFaults{Latency: c.Latency})
	path, h := imitator.LogHandler(l)
	return c.serve(path, h, imitator.LogAdmin(l))
}

// Run serves a simulated host list.
func (c *hostsCmd) Run() error {
	hosts := imitator.NewHosts(c.Lag)
	path, h := imitator.HostsHandler(hosts)
	return c.serve(path, h, imitator.HostsAdmin(hosts))
}

// Run registers and serves simulated workers.
func (c *workersCmd) Run() error {
	fleet := imitator.NewFleet(1)
	journal := &imitator.Journal{}
	ip, _, err := net.SplitHostPort(c.Address)
	if err != nil {
		return err
	}
	for i := range c.Count {
		name := fmt.Sprintf("%s-w%02d", c.DataCentre, i)
		rack := fmt.Sprintf("%s-r%d", c.DataCentre, i/c.PerRack)
		fleet.Put(imitator.NewWorker(imitator.WorkerConfig{
			Name: name, Rack: rack, Incarnation: uint64(time.Now().UnixNano()),
			Capacity: briarspring.NewResources(briarspring.ResourcesConfig{
				MilliCPU: c.CPU * briarspring.MilliCPUPerCore, MemoryMiB: c.Memory, Accelerators: c.Accelerators,
			}),
			CheckpointTime: c.CheckpointTime, ReportInterval: c.ReportInterval, ReportLag: c.ReportLag,
			Serve: true, Address: ip, Journal: journal,
		}))
		if err := c.register(name, rack); err != nil {
			return err
		}
	}
	path, h := imitator.WorkersHandler(fleet)
	return c.serve(path, h, imitator.FleetAdmin(fleet, journal))
}

const (
	registerAttempts   = 50
	registerRetryDelay = 100 * time.Millisecond
)

// register adds a worker to the host list, retrying until the list is up.
func (c *workersCmd) register(name, rack string) error {
	body, err := json.Marshal(map[string]string{
		"name": name, "data-centre": c.DataCentre, "rack": rack, "address": c.Address,
	})
	if err != nil {
		return err
	}
	for range registerAttempts {
		request, err := http.NewRequest(http.MethodPut, "http://"+c.HostsAdmin+"/hosts/"+name, bytes.NewReader(body))
		if err != nil {
			return err
		}
		answer, err := http.DefaultClient.Do(request)
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(registerRetryDelay)
	}
	return fmt.Errorf("registration with the host list at %s failed", c.HostsAdmin)
}
