package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"briarspring/demonstrator"
)

type devCmd struct {
	Example bool   `help:"Run the organisation's workloads for about 20 s, print a summary, and exit."`
	Firm    string `help:"Organisation whose data centres and workloads to run." enum:"kask,hanbit" default:"kask"`
	Workers int    `help:"Number of workers in each data centre." default:"4"`
	Logs    string `help:"Minimum log level; off disables logging." enum:"trace,debug,info,warn,error,off" default:"warn"`
}

const devEntryHosts = 2

// Run runs the whole system in this process until it is interrupted or the
// example ends.
func (c *devCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	organisation := demonstrator.Organisations[c.Firm]
	config := demonstrator.Config{
		Organisation: organisation, EntryHosts: devEntryHosts, Workers: c.Workers, Logs: os.Stderr, LogLevel: c.Logs,
	}
	if c.Logs == "off" {
		config.Logs, config.LogLevel = io.Discard, "error"
	}
	d, err := demonstrator.New(config)
	if err != nil {
		cancel()
		return err
	}
	go d.Run(ctx)
	defer func() {
		cancel()
		<-d.Done()
	}()
	if c.Example {
		return demonstrator.Example(ctx, d, organisation, os.Stdout)
	}
	c.printAddresses(d, organisation)
	<-ctx.Done()
	return nil
}

func (c *devCmd) printAddresses(d *demonstrator.Demonstrator, organisation demonstrator.Organisation) {
	for _, p := range d.DataCentres() {
		fmt.Printf("%s: gateways %v, operators %v, status pages %v, hosts for workflows %v\n", p.Name, p.Gateways, p.Operators, p.Admins, p.Hosts)
	}
	first := d.DataCentres()[0]
	fmt.Printf("\nCreate the example service, then send it a request:\n"+
		"  briarspring ctl --address %s apply examples/%s.objects.ini\n"+
		"  curl -i -X POST -d receipt http://%s%s\n", first.Operators[0], c.Firm, first.Gateways[0], organisation.Path)
	fmt.Printf("\nSubmit the example workflow, and see where it runs:\n"+
		"  briarspring ctl --address %s workflow submit examples/bundle.workflow.ini\n"+
		"  briarspring ctl --address %s workflow list\n", first.Hosts[0], first.Hosts[0])
}
