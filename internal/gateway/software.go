package gateway

import (
	"slices"

	"kitetiller/internal/streamorigin"
)

// softwareOf returns the software version of a back end.
func (t *table) softwareOf(row *endpoint) streamorigin.SoftwareVersion {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return row.software
}

// requiredSoftware returns which software version the back end of the next attempt must have: a stream that has begun, here
// or at another gateway, goes on at the version that began it.
func (x *exchange) requiredSoftware() streamorigin.Requirement {
	switch {
	case x.begunAt != nil:
		return streamorigin.SameAs(x.gateway.table.softwareOf(x.begunAt))
	case x.origin.takesUp:
		return streamorigin.SameAs(x.origin.found.Software)
	}
	return streamorigin.Requirement{}
}

// servesSoftware reports whether a back end of a service accepts requests and meets a requirement.
func (t *table) servesSoftware(service string, required streamorigin.Requirement) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.services[service], func(row *endpoint) bool {
		return row.acceptsRequests() && required.Admits(row.software)
	})
}
