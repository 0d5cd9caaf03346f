package gateway

import (
	"math/rand/v2"
	"strconv"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
)

const (
	saltBase = 36
	// sharedSaltPrefix begins the salts of known weights, and no others.
	sharedSaltPrefix = "w"
	// epochSeparator and tenantSeparator precede the sharing epoch and the name of an isolated tenant in a salt.
	epochSeparator  = "."
	tenantSeparator = "/"
)

// namespace determines which cached parts a request may use, beside the weights: those of its tenant only, or those of
// all tenants that share, of the same sharing epoch.
type namespace struct {
	isolated string // name of the isolated tenant, or ""
	epoch    uint64 // of shared parts; 0 is the first one
}

// salt returns the name under which back ends keep the parts of the namespace for a weights version.
func (n namespace) salt(version uint64) string {
	salt := sharedSaltPrefix + formatVersion(version)
	switch {
	case n.isolated != "":
		salt += tenantSeparator + n.isolated
	case n.epoch > 0:
		salt += epochSeparator + strconv.FormatUint(n.epoch, saltBase)
	}
	return salt
}

// uniqueSalt returns a salt that no other request uses, for use when the weights are unknown.
func uniqueSalt() string { return "u" + strconv.FormatUint(rand.Uint64(), saltBase) }

// namespaceOf returns the namespace of a tenant's requests, nil being no tenant. A tenant that the document no longer
// has counts as isolated: its request was admitted under an earlier one.
func (v *view) namespaceOf(tenant *catalog.Tenant) namespace {
	if tenant == nil {
		return namespace{epoch: v.sharingEpoch}
	}
	if current := v.tenants[tenant.Name]; current == nil || current.Isolated {
		return namespace{isolated: tenant.Name}
	}
	return namespace{epoch: v.sharingEpoch}
}

// maxLoggedTenants bounds the tenants in a log line.
const maxLoggedTenants = 10

// recordSharingEpoch logs and counts a new sharing epoch, from which on no cached parts of before are shared.
func (g *Gateway) recordSharingEpoch(previous, next *view) {
	if next.sharingEpoch == previous.sharingEpoch {
		return
	}
	var isolated []string
	for _, tenant := range next.document.Tenants {
		if before := previous.tenants[tenant.Name]; tenant.Isolated && (before == nil || !before.Isolated) && len(isolated) < maxLoggedTenants {
			isolated = append(isolated, tenant.Name)
		}
	}
	g.metrics.sharingEpochs.Inc()
	g.log.info(events.SharingEpochBegan, zap.Uint64(events.FieldRevision, next.document.Revision), zap.Uint64("epoch", next.sharingEpoch), zap.Strings("isolated", isolated))
}

// namespace returns the request's namespace by the newest view. The one in which it was admitted may be older, since its
// body may take seconds to arrive.
func (x *exchange) namespace() namespace { return x.gateway.view.Load().namespaceOf(x.tenant) }

// updateNamespace replaces the salt of a placement that was made before a change of the request's namespace, and reports
// whether it may be used. The run that a continuation goes on with stays in its namespace.
func (a *attempt) updateNamespace() bool {
	current := a.exchange.namespace()
	if a.plan.version == 0 || a.plan.namespace == current {
		return true
	}
	if a.continues {
		return false
	}
	a.plan.namespace, a.plan.salt = current, current.salt(a.plan.version)
	return true
}
