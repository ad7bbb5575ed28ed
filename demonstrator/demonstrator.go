// Package demonstrator runs a whole system in one process on an embedded
// platform, for trying it out and for the example workloads.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"briarspring"
	"briarspring/assembler"
	"briarspring/certifier"
	"briarspring/imitator"
	"briarspring/launcher"
	"briarspring/loader"
)

// Config holds the settings of a Demonstrator.
type Config struct {
	Organisation Organisation
	EntryHosts   int // Entry hosts per data centre.
	Workers      int // Workers per data centre for services and jobs, and as many again for workflows.
	Logs         io.Writer
	LogLevel     string
}

// Demonstrator is a whole system in one process.
type Demonstrator struct {
	config      Config
	log         *imitator.Log
	hosts       *imitator.Hosts
	journal     *imitator.Journal
	dataCentres []*DataCentre
	schedulers  []*launcher.Launcher
	gateways    []*launcher.Launcher
	workflows   *workflows
	done        chan struct{}
}

// DataCentre is a data centre of the system.
type DataCentre struct {
	Name      string
	Gateways  []string
	Operators []string
	Admins    []string // Admin addresses of the schedulers.
	Hosts     []string // Operators' addresses of the hosts that schedule workflows.
	fleet     *imitator.Fleet
	peers     []string
}

const (
	hostsLag            = 500 * time.Millisecond
	appendsPerSec       = 300
	logLatency          = 2 * time.Millisecond
	checkpointTime      = 50 * time.Millisecond
	reportInterval      = time.Second
	workersPerRack      = 8
	workerCores         = 16
	workerMemory        = 60 * 1024
	certificateLifetime = 24 * time.Hour
	stopTime            = "10s"
)

// New builds the system; Run runs it.
func New(c Config) (*Demonstrator, error) {
	d := &Demonstrator{
		config: c, log: imitator.NewLog(imitator.LogConfig{AppendsPerSecond: appendsPerSec}),
		hosts: imitator.NewHosts(hostsLag), journal: &imitator.Journal{}, done: make(chan struct{}),
	}
	d.log.SetFaults(imitator.LogFaults{Latency: logLatency})
	authority, err := certifier.NewAuthority()
	if err != nil {
		return nil, err
	}
	for _, name := range c.Organisation.DataCentres {
		p, err := d.newDataCentre(name)
		if err != nil {
			return nil, err
		}
		d.dataCentres = append(d.dataCentres, p)
	}
	for _, p := range d.dataCentres {
		for i := range c.EntryHosts {
			if err := d.addEntryHost(p, i, authority); err != nil {
				return nil, err
			}
		}
	}
	d.workflows, err = newWorkflows(c, d.dataCentres)
	return d, err
}

func (d *Demonstrator) newDataCentre(name string) (*DataCentre, error) {
	p := &DataCentre{Name: name, fleet: imitator.NewFleet(1)}
	for i := range d.config.Workers {
		worker := fmt.Sprintf("%s-w%02d", name, i)
		rack := fmt.Sprintf("%s-r%d", name, i/workersPerRack)
		p.fleet.Put(imitator.NewWorker(imitator.WorkerConfig{
			Name: worker, Rack: rack, Incarnation: 1, CheckpointTime: checkpointTime,
			Capacity: briarspring.NewResources(briarspring.ResourcesConfig{
				MilliCPU: workerCores * briarspring.MilliCPUPerCore, MemoryMiB: workerMemory,
			}),
			ReportInterval: reportInterval, ReportLag: reportInterval, Serve: true, Address: "127.0.0.1", Journal: d.journal,
		}))
		d.hosts.Put(briarspring.Host{Name: worker, DataCentre: name, Rack: rack, Address: "127.0.0.1:1"})
	}
	for range d.config.EntryHosts {
		for _, list := range []*[]string{&p.Gateways, &p.Operators, &p.peers, &p.Admins} {
			address, err := FreeAddress()
			if err != nil {
				return nil, err
			}
			*list = append(*list, address)
		}
	}
	return p, nil
}

// embeddedPlatform is one data centre's access to the platform.
type embeddedPlatform struct {
	*imitator.LogClient
	*imitator.FleetClient
	*hostList
}

// hostList is an alias because an embedded field named Hosts would hide the
// promoted method Hosts.
type hostList = imitator.Hosts

func (d *Demonstrator) addEntryHost(p *DataCentre, i int, authority *certifier.Authority) error {
	settings, err := loader.Parse("dev", []byte(d.settings(p, i)))
	if err != nil {
		return err
	}
	pair, err := authority.Issue(certificateLifetime)
	if err != nil {
		return err
	}
	tls, err := certifier.FromPair(pair)
	if err != nil {
		return err
	}
	name := settings.Process.Name
	outside := assembler.Dependencies{
		Platform: embeddedPlatform{d.log.Client(name), p.fleet.Client(name), d.hosts}, TLS: tls, Logs: d.config.Logs,
	}
	scheduler, err := assembler.NewScheduler(settings, outside)
	if err != nil {
		return err
	}
	gateway, err := assembler.NewGateway(settings, outside)
	if err != nil {
		return err
	}
	d.schedulers = append(d.schedulers, scheduler)
	d.gateways = append(d.gateways, gateway)
	return nil
}

func (d *Demonstrator) settings(p *DataCentre, i int) string {
	var otherGateways []string
	for _, o := range d.dataCentres {
		if o != p {
			otherGateways = append(otherGateways, o.Name+"="+o.Gateways[0])
		}
	}
	return fmt.Sprintf(`[process]
name = %s-host%d
data-centre = %s
stop-time = %s
[log]
level = %s
[platform]
log-address = 127.0.0.1:1
hosts-address = 127.0.0.1:1
[tls]
certificate = memory
key = memory
authority = memory
[scheduler]
admin-address = %s
operators-address = %s
peer-address = %s
[gateway]
admin-address = 127.0.0.1:0
address = %s
schedulers = %s
seat = %d
seats = %d
notice-time = 100ms
elsewhere = %s
`, p.Name, i, p.Name, stopTime, d.config.LogLevel, p.Admins[i], p.Operators[i], p.peers[i],
		p.Gateways[i], strings.Join(p.peers, ","), i, len(p.Gateways), strings.Join(otherGateways, ","))
}

// DataCentres returns the data centres.
func (d *Demonstrator) DataCentres() []*DataCentre { return d.dataCentres }

// Gateways returns the addresses of all gateways.
func (d *Demonstrator) Gateways() []string {
	var out []string
	for _, p := range d.dataCentres {
		out = append(out, p.Gateways...)
	}
	return out
}

// Journal returns the journal that the workers keep.
func (d *Demonstrator) Journal() *imitator.Journal { return d.journal }

// Done returns a channel that is closed when Run has ended.
func (d *Demonstrator) Done() <-chan struct{} { return d.done }

// Run runs the system until the context ends. Schedulers are stopped after the
// gateways and the workflow hosts.
func (d *Demonstrator) Run(ctx context.Context) {
	defer close(d.done)
	schedulersCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var schedulers, gateways sync.WaitGroup
	for _, l := range d.schedulers {
		schedulers.Go(func() { l.Run(schedulersCtx) })
	}
	for _, l := range d.gateways {
		gateways.Go(func() { l.Run(ctx) })
	}
	gateways.Go(func() { d.workflows.run(ctx) })
	gateways.Wait()
	cancel()
	schedulers.Wait()
}
