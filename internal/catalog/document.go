// Package catalog is the replicated state of a gateway fleet: the routing document that operators replace as a
// whole, the back ends that register themselves, the weights versions that were named, and the fence of orders.
//
// Machine is a pure state machine: it reads no clock, and every replica that applies the same commands in the same
// order holds the same state.
package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Document is the whole routing configuration of one revision. Documents only replace each other as a whole; the
// highest revision is in force.
type Document struct {
	Revision uint64          `json:"revision"`
	Routes   []Route         `json:"routes"`
	Services []Service       `json:"services"`
	Tenants  []Tenant        `json:"tenants,omitempty"`
	Limits   Limits          `json:"limits"`
	Source   json.RawMessage `json:"source,omitempty"` // as the operator sent it, to be read back unchanged
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name           string        `json:"name"`
	Host           string        `json:"host"`
	PathPrefix     string        `json:"path_prefix"` // begins and ends with a slash; the longest that fits wins
	Targets        []Target      `json:"targets"`
	Timeout        time.Duration `json:"timeout_ns"` // longest time until the final answer
	Objective      time.Duration `json:"objective_ns"`
	MaxEventGap    time.Duration `json:"pause_ns"` // longest pause between events that is still in time
	MaxAttempts    int           `json:"attempts"` // back ends that one request may be sent to
	Priority       int           `json:"priority"` // 0 is the most urgent
	Repeatable     bool          `json:"repeatable"`
	Streaming      bool          `json:"streaming"`
	Resumable      bool          `json:"resumable"` // a broken stream may go on at another back end
	AllowAnonymous bool          `json:"open"`      // needs no API key
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool { return r.Repeatable || (r.Streaming && r.Resumable) }

// Target is a service and its share of a route's requests.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a set of back ends that serve the same requests.
type Service struct {
	Name            string  `json:"name"`
	HealthPath      string  `json:"health_path"`
	Engine          bool    `json:"engine"`         // keeps prompt caches and takes orders
	Slots           int     `json:"slots"`          // requests at once at one back end; 0 unknown
	CacheTokens     int     `json:"cache_tokens"`   // tokens of one back end's memory; 0 unknown
	KVBytesPerToken float64 `json:"token_bytes"`    // of a cached token; 0 unknown
	LinkMbps        float64 `json:"link_mbps"`      // of one back end or of the store; 0 unknown
	StoreAddress    string  `json:"store"`          // address, when the service is a store of kept caches
	Zone            string  `json:"zone,omitempty"` // of the store
}

// Tenant owns API keys.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority"` // 0 is the most urgent; compared before a route's
	Isolated bool     `json:"isolated"` // shares no cached prompt with another tenant
	Quota    Quota    `json:"quota"`
}

// Quota bounds what all of a tenant's requests may use, over the whole fleet.
type Quota struct {
	Rate          float64 `json:"rate"`                   // units a second; 0 is no limit
	Burst         float64 `json:"burst,omitempty"`        // units at once on top
	Tokens        bool    `json:"tokens,omitempty"`       // units are prompt and output tokens; else requests
	DefaultTokens float64 `json:"plain_tokens,omitempty"` // of a request that doesn't tell its tokens
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns how many units a request takes. counted tells whether it told its tokens.
func (q Quota) Cost(tokens int, counted bool) float64 {
	switch {
	case !q.Tokens:
		return 1
	case !counted:
		return q.DefaultTokens
	}
	return float64(tokens)
}

// Limits bound what callers may send. Zero values mean the gateway's own defaults.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"`
	IdleTimeout   time.Duration `json:"idle_timeout_ns"`
}

// Problem says what is wrong with a document, and where.
type Problem struct {
	Where   string `json:"where"` // such as route "a"
	Message string `json:"message"`
}

// String returns the problem in one line.
func (p Problem) String() string { return p.Where + ": " + p.Message }

// Validate returns everything that is wrong with a document.
func (d *Document) Validate() []Problem {
	v := &validator{services: map[string]bool{}, routesByPrefix: map[string]string{}, keyOwners: map[string]string{}}
	if d.Revision == 0 {
		v.report("document", "its revision must be 1 or more")
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
	routesByPrefix map[string]string // route by host and prefix
	keyOwners      map[string]string // tenant by key
}

func (c *validator) report(where, message string) {
	c.problems = append(c.problems, Problem{Where: where, Message: message})
}

func (c *validator) service(service Service) {
	where := fmt.Sprintf("service %q", service.Name)
	if service.Name == "" {
		c.report(where, "has no name")
	}
	if c.services[service.Name] {
		c.report(where, "stands there twice")
	}
	c.services[service.Name] = true
}

func (c *validator) route(route *Route) {
	where := fmt.Sprintf("route %q", route.Name)
	hostAndPrefix := route.Host + route.PathPrefix
	if other, taken := c.routesByPrefix[hostAndPrefix]; taken {
		c.report(where, fmt.Sprintf("has the host and path prefix of route %q", other))
	}
	c.routesByPrefix[hostAndPrefix] = route.Name
	if route.Host == "" || !hasOuterSlashes(route.PathPrefix) {
		c.report(where, "needs a host, and a path prefix that begins and ends with a slash")
	}
	if route.Timeout <= 0 {
		c.report(where, "its time limit must be above 0")
	}
	c.targets(where, route.Targets)
}

func hasOuterSlashes(prefix string) bool {
	return len(prefix) > 0 && prefix[0] == '/' && prefix[len(prefix)-1] == '/'
}

func (c *validator) targets(where string, targets []Target) {
	sum := 0
	for _, target := range targets {
		if !c.services[target.Service] {
			c.report(where, fmt.Sprintf("names the unknown service %q", target.Service))
		}
		if target.Weight < 0 {
			c.report(where, "has a weight below 0")
		}
		sum += target.Weight
	}
	if sum <= 0 {
		c.report(where, "its weights sum to 0")
	}
}

func (c *validator) tenant(tenant Tenant) {
	where := fmt.Sprintf("tenant %q", tenant.Name)
	if tenant.Name == "" {
		c.report(where, "has no name")
	}
	if quota := tenant.Quota; quota.Rate < 0 || quota.Burst < 0 || quota.DefaultTokens < 0 {
		c.report(where, "has a limit below 0")
	}
	for _, key := range tenant.Keys {
		if owner, taken := c.keyOwners[key]; taken && owner != tenant.Name {
			c.report(where, fmt.Sprintf("shares an API key with tenant %q", owner))
		}
		c.keyOwners[key] = tenant.Name
	}
}

// Service returns the service of a name.
func (d *Document) Service(name string) (Service, bool) {
	at := slices.IndexFunc(d.Services, func(service Service) bool { return service.Name == name })
	if at < 0 {
		return Service{}, false
	}
	return d.Services[at], true
}
