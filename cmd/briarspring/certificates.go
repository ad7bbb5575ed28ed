package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"briarspring/certifier"
)

type certificatesCmd struct {
	Folder string        `arg:"" help:"Output folder; each host gets a subfolder."`
	Hosts  []string      `arg:"" help:"Names of the hosts."`
	Life   time.Duration `help:"Validity period of the certificates." default:"720h"`
}

// Run creates a certificate authority and a certificate for each host. The
// authority's key is not stored, so certificates for new hosts need a new run.
func (c *certificatesCmd) Run() error {
	authority, err := certifier.NewAuthority()
	if err != nil {
		return merry.Prepend(err, "can't create certificate authority")
	}
	for _, host := range c.Hosts {
		pair, err := authority.Issue(c.Life)
		if err != nil {
			return merry.Prependf(err, "can't create certificate of %s", host)
		}
		folder := filepath.Join(c.Folder, host)
		if err := pair.Write(folder); err != nil {
			return merry.Prependf(err, "can't write certificate of %s", host)
		}
		fmt.Println(folder)
	}
	return nil
}
