package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/catalog"
	"kitetiller/internal/prefix"
)

// view is a catalog document indexed for look-ups. It is immutable.
type view struct {
	document *catalog.Document
	routes   map[string][]*catalog.Route // by host, longest path prefix first
	keys     map[string]*catalog.Tenant  // by API key
	tenants  map[string]*catalog.Tenant  // by name
	services map[string]*catalog.Service
	stores   []*catalog.Service       // cache stores, in document order
	critical map[string]bool          // names of latency-critical services
	offers   map[string]catalog.Offer // optional features of back ends, by service
	gaps     map[string]time.Duration // as of shortestEventGaps
	// streamTimeouts holds the longest timeout of the routes whose streams go to each service.
	streamTimeouts map[string]time.Duration
	// sharingEpoch is that of the document or of an earlier one, whichever is later: one that passed through an older build
	// has lost it.
	sharingEpoch uint64
}

func newView(document *catalog.Document, offers map[string]catalog.Offer) *view {
	v := &view{
		document: document, routes: map[string][]*catalog.Route{}, keys: map[string]*catalog.Tenant{}, tenants: map[string]*catalog.Tenant{},
		services: map[string]*catalog.Service{}, critical: map[string]bool{}, offers: offers, gaps: shortestEventGaps(document),
		streamTimeouts: map[string]time.Duration{}, sharingEpoch: document.SharingEpoch,
	}
	for i := range document.Routes {
		route := &document.Routes[i]
		v.routes[route.Host] = append(v.routes[route.Host], route)
		for _, target := range route.Targets {
			if route.Streaming {
				v.streamTimeouts[target.Service] = max(v.streamTimeouts[target.Service], route.Timeout)
			}
		}
	}
	for _, routes := range v.routes {
		slices.SortFunc(routes, func(a, b *catalog.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range document.Tenants {
		v.tenants[document.Tenants[i].Name] = &document.Tenants[i]
		for _, key := range document.Tenants[i].Keys {
			v.keys[key] = &document.Tenants[i]
		}
	}
	for i := range document.Services {
		service := &document.Services[i]
		v.services[service.Name] = service
		v.critical[service.Name] = document.LatencyCritical(service.Name)
		if service.StoreAddress != "" {
			v.stores = append(v.stores, service)
		}
	}
	return v
}

// offer returns the optional features of a service's back ends.
func (v *view) offer(service string) catalog.Offer { return v.offers[service] }

// route returns the route for a host and path, or nil.
func (v *view) route(host, path string) *catalog.Route {
	for _, route := range v.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// movedStreams returns, by service, the services to which requests that now go there went in a previous view, if they can't go
// to those any more. Its cost grows with the product of the routes and those that were added or removed.
func (v *view) movedStreams(previous *view) map[string][]string {
	moved := map[string][]string{}
	for host, routes := range v.routes {
		earlier := routesByPrefix(previous.routes[host])
		for _, route := range routes {
			before := earlier[route.PathPrefix]
			delete(earlier, route.PathPrefix)
			if before == nil && route.Streaming {
				before = previous.route(host, route.PathPrefix)
			}
			addMoved(moved, before, route)
		}
		for prefix, removed := range earlier {
			addMoved(moved, removed, v.route(host, prefix))
		}
	}
	return moved
}

func routesByPrefix(routes []*catalog.Route) map[string]*catalog.Route {
	byPrefix := make(map[string]*catalog.Route, len(routes))
	for _, route := range routes {
		byPrefix[route.PathPrefix] = route
	}
	return byPrefix
}

// addMoved adds the services that got requests before and don't any more to those of the services that get them now. The
// routes may be nil.
func addMoved(moved map[string][]string, before, now *catalog.Route) {
	if before == nil || now == nil || !now.Streaming {
		return
	}
	for _, from := range before.Targets {
		gets := func(t catalog.Target) bool { return t.Service == from.Service && t.Weight > 0 }
		if from.Weight == 0 || slices.ContainsFunc(now.Targets, gets) {
			continue
		}
		for _, to := range now.Targets {
			moved[to.Service] = append(moved[to.Service], from.Service)
		}
	}
}

// storeOf returns the cache store for a prompt's shared parts, or nil if there are no stores. It uses rendezvous
// hashing, so that all gateways choose the same store and the parts are spread over all stores.
func (v *view) storeOf(parts []prefix.Part) *catalog.Service {
	key := xxhash.Sum64String(prefix.AffinityKey(parts))
	var best *catalog.Service
	var highest uint64
	for _, s := range v.stores {
		if weight := mix(key ^ xxhash.Sum64String(s.StoreAddress)); best == nil || weight > highest {
			best, highest = s, weight
		}
	}
	return best
}

// tenant returns the owner of an API key, or nil. needed reports whether the route requires a key.
func (v *view) tenant(route *catalog.Route, key string) (owner *catalog.Tenant, needed bool) {
	needed = len(v.document.Tenants) > 0 && !route.AllowAnonymous
	if !needed {
		return nil, false
	}
	return v.keys[key], true
}

func (v *view) bodyLimit() int64 {
	if limit := v.document.Limits.BodyBytes; limit > 0 {
		return int64(limit)
	}
	return defaultBodyLimit
}
