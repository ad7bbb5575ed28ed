package dispatcher

import (
	"time"

	"briarspring"
)

// Organisation is what a data centre's owner knows of an organisation.
type Organisation struct {
	Name   string
	Weight float64
	Limit  briarspring.Resources // Of the whole fleet; a zero field is no limit.
	Parts  int                   // Parts of the limit that this data centre may use, of briarspring.QuotaParts.
}

// OrganisationUse is what an organisation uses in this data centre.
type OrganisationUse struct {
	Used     briarspring.Resources // Of runs that may be alive.
	Possible briarspring.Resources // At most in use by runs that are not known yet, beyond Used.
	Waiting  briarspring.Resources // Needs of tasks that are ready and that only the quota holds back.
}

// SetOrganisations sets the organisations and the parts of their limits.
func (d *Dispatcher) SetOrganisations(now time.Duration, list []Organisation, directoryVersion uint64) {
}

// OrganisationUse returns what organisations with a limit use or wait for.
func (d *Dispatcher) OrganisationUse() map[string]OrganisationUse { return nil }
