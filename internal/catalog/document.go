// Package catalog implements the replicated state of a gateway fleet: the routing document, the registered backend
// instances, the published weights versions and the fencing token of weights orders.
//
// Machine is a deterministic state machine that reads no clock: replicas that apply the same commands in the same order
// hold the same state.
package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Document is the complete routing configuration of one revision. A document is always replaced as a whole; the highest
// revision is in force.
type Document struct {
	Revision uint64          `json:"revision"`
	Routes   []Route         `json:"routes"`
	Services []Service       `json:"services"`
	Tenants  []Tenant        `json:"tenants,omitempty"`
	Limits   Limits          `json:"limits"`
	Source   json.RawMessage `json:"source,omitempty"` // as the operator sent it, returned unchanged on reads
	// SharingEpoch is the revision that last withdrew a tenant from sharing cached prompts, or 0. Cached prompts are
	// shared within an epoch only. Machine sets it when the document is put in force.
	SharingEpoch uint64 `json:"sharing_epoch,omitempty"`
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name           string        `json:"name"`
	Host           string        `json:"host"`
	PathPrefix     string        `json:"path_prefix"` // starts and ends with a slash; the longest match wins
	Targets        []Target      `json:"targets"`
	Timeout        time.Duration `json:"timeout_ns"` // until the last byte of the response
	Objective      time.Duration `json:"objective_ns"`
	MaxEventGap    time.Duration `json:"pause_ns"` // longest gap between stream events that meets the objective
	MaxAttempts    int           `json:"attempts"` // backends that one request may be sent to
	Priority       int           `json:"priority"` // 0 is the most urgent
	Repeatable     bool          `json:"repeatable"`
	Streaming      bool          `json:"streaming"`
	Resumable      bool          `json:"resumable"` // a broken stream may continue on another backend
	AllowAnonymous bool          `json:"open"`      // requests need no API key
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool { return r.Repeatable || (r.Streaming && r.Resumable) }

// Target is a service and its share of a route's requests.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a set of interchangeable backends.
type Service struct {
	Name            string  `json:"name"`
	HealthPath      string  `json:"health_path"`
	Engine          bool    `json:"engine"`         // keeps prompt caches and accepts weights orders
	Slots           int     `json:"slots"`          // concurrent requests per backend; 0 if unknown
	CacheTokens     int     `json:"cache_tokens"`   // cache capacity per backend in tokens; 0 if unknown
	KVBytesPerToken float64 `json:"token_bytes"`    // size of a cached token; 0 if unknown
	LinkMbps        float64 `json:"link_mbps"`      // bandwidth of one backend, or of the store; 0 if unknown
	StoreAddress    string  `json:"store"`          // set if the service is a store of cached prompts
	Zone            string  `json:"zone,omitempty"` // of the store
}

// Tenant is an owner of API keys.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority"` // 0 is the most urgent; compared before the route's priority
	Isolated bool     `json:"isolated"` // shares no cached prompts with other tenants
	Quota    Quota    `json:"quota"`
}

// Quota limits the use of all requests of a tenant, over the whole fleet.
type Quota struct {
	Rate          float64 `json:"rate"`                   // units per second; 0 is unlimited
	Burst         float64 `json:"burst,omitempty"`        // additional units available at once
	Tokens        bool    `json:"tokens,omitempty"`       // units are prompt and output tokens instead of requests
	DefaultTokens float64 `json:"plain_tokens,omitempty"` // cost of a request whose token count is unknown
}

// Limited reports whether the rate is limited.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns how many units a request costs. counted reports whether its token count is known.
func (q Quota) Cost(tokens int, counted bool) float64 {
	switch {
	case !q.Tokens:
		return 1
	case !counted:
		return q.DefaultTokens
	}
	return float64(tokens)
}

// Limits bounds what clients may send. Zero values select the gateway's defaults.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"`
	IdleTimeout   time.Duration `json:"idle_timeout_ns"`
}

// Problem is a validation error of a document and its location.
type Problem struct {
	Where   string `json:"where"` // for example route "a"
	Message string `json:"message"`
}

// String formats the problem on one line.
func (p Problem) String() string { return p.Where + ": " + p.Message }

// Validate returns all problems of a document.
func (d *Document) Validate() []Problem {
	v := &validator{services: map[string]bool{}, routesByPrefix: map[string]string{}, keyOwners: map[string]string{}}
	if d.Revision == 0 {
		v.report("document", "revision must be at least 1")
	}
	for _, service := range d.Services {
		v.service(service)
	}
	for i := range d.Routes {
		v.route(&d.Routes[i])
	}
	for _, tenant := range d.Tenants {
		v.tenant(tenant)
	}
	return v.problems
}

// validator collects the problems of a document.
type validator struct {
	problems       []Problem
	services       map[string]bool
	routesByPrefix map[string]string // route name by host and path prefix
	keyOwners      map[string]string // tenant name by API key
}

func (v *validator) report(where, message string) {
	v.problems = append(v.problems, Problem{Where: where, Message: message})
}

func (v *validator) service(service Service) {
	where := fmt.Sprintf("service %q", service.Name)
	if service.Name == "" {
		v.report(where, "name is missing")
	}
	if v.services[service.Name] {
		v.report(where, "is defined more than once")
	}
	v.services[service.Name] = true
}

func (v *validator) route(route *Route) {
	where := fmt.Sprintf("route %q", route.Name)
	hostAndPrefix := route.Host + route.PathPrefix
	if other, taken := v.routesByPrefix[hostAndPrefix]; taken {
		v.report(where, fmt.Sprintf("has the same host and path prefix as route %q", other))
	}
	v.routesByPrefix[hostAndPrefix] = route.Name
	if route.Host == "" || !hasOuterSlashes(route.PathPrefix) {
		v.report(where, "needs a host and a path prefix that starts and ends with a slash")
	}
	if route.Timeout <= 0 {
		v.report(where, "timeout must be positive")
	}
	v.targets(where, route.Targets)
}

func hasOuterSlashes(prefix string) bool {
	return len(prefix) > 0 && prefix[0] == '/' && prefix[len(prefix)-1] == '/'
}

func (v *validator) targets(where string, targets []Target) {
	sum := 0
	for _, target := range targets {
		if !v.services[target.Service] {
			v.report(where, fmt.Sprintf("refers to unknown service %q", target.Service))
		}
		if target.Weight < 0 {
			v.report(where, "has a negative weight")
		}
		sum += target.Weight
	}
	if sum <= 0 {
		v.report(where, "target weights sum to 0")
	}
}

func (v *validator) tenant(tenant Tenant) {
	where := fmt.Sprintf("tenant %q", tenant.Name)
	if tenant.Name == "" {
		v.report(where, "name is missing")
	}
	if quota := tenant.Quota; quota.Rate < 0 || quota.Burst < 0 || quota.DefaultTokens < 0 {
		v.report(where, "has a negative quota")
	}
	for _, key := range tenant.Keys {
		if owner, taken := v.keyOwners[key]; taken && owner != tenant.Name {
			v.report(where, fmt.Sprintf("shares an API key with tenant %q", owner))
		}
		v.keyOwners[key] = tenant.Name
	}
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (Service, bool) {
	at := slices.IndexFunc(d.Services, func(service Service) bool { return service.Name == name })
	if at < 0 {
		return Service{}, false
	}
	return d.Services[at], true
}
