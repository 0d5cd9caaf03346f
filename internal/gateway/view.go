package gateway

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/catalog"
	"kitetiller/internal/prefix"
)

// view is a document prepared for look-ups. It never changes once it is published.
type view struct {
	document *catalog.Document
	routes   map[string][]*catalog.Route // by host, the longest prefix first
	keys     map[string]*catalog.Tenant
	services map[string]*catalog.Service
	stores   []*catalog.Service // of kept caches, in the order of the document
}

func newView(document *catalog.Document) *view {
	v := &view{
		document: document, routes: map[string][]*catalog.Route{}, keys: map[string]*catalog.Tenant{},
		services: map[string]*catalog.Service{},
	}
	for i := range document.Routes {
		route := &document.Routes[i]
		v.routes[route.Host] = append(v.routes[route.Host], route)
	}
	for _, routes := range v.routes {
		slices.SortFunc(routes, func(a, b *catalog.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range document.Tenants {
		for _, key := range document.Tenants[i].Keys {
			v.keys[key] = &document.Tenants[i]
		}
	}
	for i := range document.Services {
		service := &document.Services[i]
		v.services[service.Name] = service
		if service.StoreAddress != "" {
			v.stores = append(v.stores, service)
		}
	}
	return v
}

// route returns the route of a host and path, or nil.
func (v *view) route(host, path string) *catalog.Route {
	for _, route := range v.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// storeOf returns the store that keeps a prompt's shared parts, or nil where there is none: the one of the highest random
// weight, so that every gateway looks in the same place and the stores share the parts.
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

// tenant returns the owner of a key. needed is false where no key is asked for.
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
