package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/streamorigin"
	"kitetiller/internal/streamorigin/registry"
)

// recordSlack is how much longer than the caller waits a record lasts.
const recordSlack = 2 * time.Second

// origin is what is known of a stream that its caller takes up here.
type origin struct {
	takesUp bool // the request goes on with a stream that an earlier request began
	key     streamorigin.Key
	keyed   bool // the request names the one that began the stream
	found   registry.Found
	took    time.Duration // the search
}

// findOrigin finds out at which software version the stream began that the request goes on with, and rejects the request if
// that is not known. Requests that begin a stream need none.
func (x *exchange) findOrigin() bool {
	if !x.route.Streaming {
		return true
	}
	g, began := x.gateway, x.gateway.now()
	g.table.recordCallerWait(began, x.service.Name, x.call.Timeout)
	if x.call.LastEvent == "" {
		return true
	}
	x.origin.takesUp = true
	x.origin.found = x.searchOrigin()
	x.origin.took = g.now() - began
	g.metrics.takeUps.WithLabelValues(string(x.origin.found.Source)).Inc()
	if x.origin.found.Software.IsKnown() {
		return true
	}
	retryAfter := time.Duration(0) // nobody will ever know
	if x.origin.found.Source == registry.SourceUnanswered {
		retryAfter = minRetryAfter
	}
	x.reject(http.StatusServiceUnavailable, reasonOriginUnknown, retryAfter)
	return false
}

// searchOrigin returns the software version at which the stream began, from a record or by the proof that there was one
// version only. It sets the service that began the stream, if the route has several.
func (x *exchange) searchOrigin() registry.Found {
	services := x.possibleServices()
	for _, service := range services {
		x.bindService(service)
		if !x.origin.keyed {
			continue
		}
		if found, decided := x.gateway.streams.FindOwn(x.origin.key); decided {
			return found
		}
	}
	if len(services) == 1 && x.gateway.confirmsSole(x.ctx, x.service.Name) {
		if version, sole := x.gateway.table.soleSoftware(x.gateway.now(), x.service.Name); sole {
			return registry.Found{Software: version, Source: registry.SourceSole}
		}
	}
	result := registry.Found{Source: registry.SourceNone}
	for _, service := range services {
		x.bindService(service)
		found := x.askForOrigin(len(services) == 1)
		if found.Software.IsKnown() {
			return found
		}
		if found.Source == registry.SourceUnanswered {
			result = found
		}
	}
	return result
}

// possibleServices returns the services at which the stream may have begun, the one chosen for the request first.
func (x *exchange) possibleServices() []*catalog.Service {
	services := []*catalog.Service{x.service}
	for _, target := range x.route.Targets {
		if service := x.view.services[target.Service]; service != nil && service != x.service && target.Weight > 0 {
			services = append(services, service)
		}
	}
	return services
}

// bindService makes the request one to a service, and sets the key of the stream it goes on with.
func (x *exchange) bindService(service *catalog.Service) {
	x.service = service
	x.origin.key, x.origin.keyed = streamorigin.NewKey(service.Name, x.tenantName(), x.call.Resumes)
}

// askForOrigin asks the gateways that may have the stream's record. If the service is certain, it is enough that one of
// them has known all its back ends for long enough, all of one version.
func (x *exchange) askForOrigin(certain bool) registry.Found {
	if !x.origin.keyed {
		return registry.Found{Source: registry.SourceNone}
	}
	g := x.gateway
	askedAt := g.now()
	found := g.streams.Find(x.ctx, streamorigin.FindRequest{Key: x.origin.key, Service: x.service.Name})
	if !certain || found.Software.IsKnown() || len(found.Vouched) == 0 || !g.confirmView(x.ctx) {
		return found
	}
	if version, sole := g.table.vouchedSoftware(g.now(), askedAt, x.service.Name, found.Vouched); sole {
		return registry.Found{Software: version, Source: registry.SourceSole}
	}
	return found
}

// confirmsSole reports whether all back ends of a service have had one software version for long enough, and control
// confirms that there are no others by now.
func (g *Gateway) confirmsSole(ctx context.Context, service string) bool {
	_, sole := g.table.soleSoftware(g.now(), service)
	return sole && g.confirmView(ctx)
}

// tenantName returns the name of the request's tenant, or "".
func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// recordOrigin records at which software version the request's stream began, with its first event. Other gateways get the
// record unless all back ends have had that version for as long as any stream may be old.
func (x *exchange) recordOrigin() {
	if !x.route.Streaming || !x.route.Resumable {
		return
	}
	key, keyed := x.origin.key, x.origin.keyed
	if !x.origin.takesUp {
		key, keyed = streamorigin.NewKey(x.service.Name, x.tenantName(), x.call.ID)
	}
	if !keyed {
		return
	}
	g, now := x.gateway, x.gateway.now()
	ttl := x.route.Timeout
	if x.call.Timeout > 0 {
		ttl = x.call.Timeout
	}
	g.streams.Add(streamorigin.Record{
		Key: key, Service: x.service.Name, Software: g.table.softwareOf(x.begunAt), TTL: x.arrived + ttl + recordSlack - now,
	}, len(x.route.Targets) > 1 || g.table.needsRecords(now, x.service.Name))
}

// originFields returns the log fields of a stream that its caller takes up.
func (x *exchange) originFields() []zap.Field {
	if !x.origin.takesUp {
		return nil
	}
	return []zap.Field{
		zap.String(events.FieldResumes, truncate(x.call.Resumes)), zap.String(events.FieldOriginSource, string(x.origin.found.Source)),
		zap.String(events.FieldOriginSoftware, x.origin.found.Software.Name()), zap.Duration(events.FieldOriginTook, x.origin.took),
	}
}

// maxLoggedID bounds the length of a caller's text in logs.
const maxLoggedID = 64

func truncate(text string) string { return text[:min(len(text), maxLoggedID)] }
