package control

import (
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/control/relay"
	"kitetiller/internal/ledger"
	"kitetiller/internal/level"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/settings"
)

// Request is a request to a control replica, from a router, gateway, back end, operator or another replica. Exactly one
// field is set, except that BackendHeartbeats and Keepalives may come together.
type Request struct {
	Heartbeat         *Heartbeat         `json:"heartbeat,omitempty"`
	Claim             *ledger.Claim      `json:"claim,omitempty"`
	End               *ledger.End        `json:"end,omitempty"`
	Change            *settings.Change   `json:"change,omitempty"`
	Read              *Read              `json:"read,omitempty"`
	Status            *StatusRequest     `json:"status,omitempty"`
	Join              *consensus.Member  `json:"join,omitempty"`
	Catalog           *catalog.Command   `json:"catalog,omitempty"` // changes the document, the published weights or the quarantine
	BackendHeartbeat  *BackendHeartbeat  `json:"beat,omitempty"`
	BackendHeartbeats []BackendHeartbeat `json:"beats,omitempty"` // full heartbeats of back ends, forwarded by a replica
	Keepalives        []Keepalive        `json:"signs,omitempty"` // unchanged heartbeats of back ends, forwarded by a replica
	Watch             *Watch             `json:"watch,omitempty"`
	Document          *DocumentRequest   `json:"document,omitempty"`

	Relay            *relay.Request     `json:"relay,omitempty"`  // from a follower that answers gateways
	AllowanceRequest *allowance.Request `json:"borrow,omitempty"` // from a gateway: requests shares of fleet-wide limits
}

// DocumentRequest asks for the revision and the source of the routing document in force.
type DocumentRequest struct{}

// Heartbeat renews a router's session and settings lease.
type Heartbeat struct {
	Router      string `json:"router"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Epoch       uint64 `json:"epoch"`            // 0 without a session
	Acked       uint64 `json:"acked"`            // settings version that the router has synced and uses
	HasSettings bool   `json:"has_settings"`     // if false, the reply holds the whole tree
	Closing     bool   `json:"closing"`          // ends the session, on a planned stop
	PeersSeen   uint64 `json:"peers_seen"`       // version of the peer list that the router holds
	Quarantine  uint64 `json:"quarantine"`       // version of the quarantine list that the router holds
	Tunnel      string `json:"tunnel,omitempty"` // address at which the router opens tunnels to back ends; "" if it opens none
}

// PeerList lists the routers with an open session.
type PeerList struct {
	Version uint64 `json:"version"`
	Peers   []Peer `json:"peers"`
}

// Peer is a router with an open session.
type Peer struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // address for other routers; empty if the router accepts no connections from them
}

// HeartbeatReply answers a Heartbeat. The router counts the lease from the time at which it sent the heartbeat.
type HeartbeatReply struct {
	Epoch   uint64          `json:"epoch"`
	Lease   time.Duration   `json:"lease_ns"` // 0: no lease until the router acknowledges Version
	Version uint64          `json:"version"`
	Base    uint64          `json:"base"` // version to which Edits apply
	Edits   []settings.Edit `json:"edits,omitempty"`
	Tree    *settings.Tree  `json:"tree,omitempty"`  // sent instead of Edits to a router without settings or too far behind
	Peers   *PeerList       `json:"peers,omitempty"` // set if it differs from the list that the router holds

	Quarantine *quarantine.Update `json:"quarantine,omitempty"` // set if it differs from the list that the router holds
	Tunnels    []Peer             `json:"tunnels,omitempty"`    // other routers, by their addresses for tunnels
}

// Read requests the current settings tree.
type Read struct {
	History bool `json:"history,omitempty"`
}

// ReadReply answers a Read. The replica held the leader lease when it answered, so that the read is linearizable.
type ReadReply struct {
	Version uint64                  `json:"version"`
	InForce uint64                  `json:"in_force"` // newest version that no serving router is behind
	Tree    settings.Tree           `json:"tree"`
	History []settings.HistoryEntry `json:"history,omitempty"`
}

// StatusRequest requests the status of the replica that receives it, whether it leads or not.
type StatusRequest struct{}

// StatusReply is the status of a replica and its view of the group.
type StatusReply struct {
	ID        consensus.ID   `json:"id"`
	Name      string         `json:"name"`
	Role      string         `json:"role"`
	Term      uint64         `json:"term"`
	Leader    string         `json:"leader"`
	LeaseHeld bool           `json:"lease_held"`
	Applied   uint64         `json:"applied"`
	Snapshot  uint64         `json:"snapshot"`
	Version   uint64         `json:"version"`
	InForce   uint64         `json:"in_force"`
	Claims    int            `json:"claims"`
	Level     level.Level    `json:"level"` // level in force
	Build     level.Level    `json:"build"` // highest level that the replica's build supports
	Members   []MemberStatus `json:"members"`
	Routers   []RouterStatus `json:"routers,omitempty"`
	Engines   []EngineStatus `json:"engines,omitempty"`

	Limits           []allowance.State `json:"limits,omitempty"` // fleet-wide limits; from the leader only
	AdvertisedLimits []allowance.State `json:"named,omitempty"`  // limits advertised by back ends, those with the most rejections; from the leader only
	// Suspects lists the requests during which more than one back end crashed; from the leader only.
	Suspects []quarantine.Entry `json:"suspects,omitempty"`
	// Software counts the registered back ends by service and software version; from the leader only.
	Software []SoftwareCount `json:"software,omitempty"`
}

// SoftwareCount is the number of back ends of a service that have a software version. Version is "" where it is not known, or
// disputed.
type SoftwareCount struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	BackEnds int    `json:"back_ends"`
	Ready    int    `json:"ready"` // of them, those that take requests
}

// MemberStatus is a member of the control group as seen by the answering replica.
type MemberStatus struct {
	consensus.Member
	Match  uint64        `json:"match"`
	Silent time.Duration `json:"silent_ns"`
	Level  level.Level   `json:"level"` // level last announced by the member's build; 0 unless the leader answers
}

// RouterStatus is a router's session as seen by the leader.
type RouterStatus struct {
	Session
	Acked     uint64        `json:"acked"`
	LeaseLeft time.Duration `json:"lease_left_ns"`
}

// EngineStatus compares the weights that an engine should hold with those it reports.
type EngineStatus struct {
	EngineReport
	Wanted string `json:"wanted"`
}

// ResponseKind states whether a request was carried out.
type ResponseKind string

// Kinds of response.
const (
	ResponseOK        ResponseKind = "ok"
	ResponseNotLeader ResponseKind = "not-leader"  // retry at Leader, if set
	ResponseNoQuorum  ResponseKind = "unavailable" // the replica could not confirm its leadership; nothing was done
	ResponseUnknown   ResponseKind = "unknown"     // the change may or may not commit; resend it with the same ID
	ResponseNotFormed ResponseKind = "not-formed"  // the group has yet to reach its configured size
	ResponseBusy      ResponseKind = "busy"        // there is no room for the change now; nothing was done, retry after RetryAfter
	ResponseTooLarge  ResponseKind = "too-large"   // the change will never fit; nothing was done
)

// Response answers a Request.
type Response struct {
	Kind            ResponseKind      `json:"kind"`
	Leader          string            `json:"leader,omitempty"` // address of the leader, if known
	Heartbeat       *HeartbeatReply   `json:"heartbeat,omitempty"`
	Claim           *ledger.Outcome   `json:"claim,omitempty"`
	Change          *settings.Outcome `json:"change,omitempty"`
	Read            *ReadReply        `json:"read,omitempty"`
	Status          *StatusReply      `json:"status,omitempty"`
	Catalog         *catalog.Outcome  `json:"catalog,omitempty"`
	Watch           *WatchReply       `json:"watch,omitempty"`
	Document        *catalog.Document `json:"document,omitempty"`
	AllowanceReply  *allowance.Reply  `json:"lent,omitempty"`
	Relayed         *relay.Reply      `json:"relayed,omitempty"`
	UnknownBackends []string          `json:"strangers,omitempty"` // back ends whose next heartbeat must be a full one

	Detail     string        `json:"detail,omitempty"`         // why a change was rejected, for the operator
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"` // with ResponseBusy
}

// Reply is a Response to a waiting client.
type Reply struct {
	Client   uint64
	Response Response
}

// EngineReport is an engine's report of its weights and fence.
type EngineReport struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Weights     string `json:"weights"`
	Loading     bool   `json:"loading"`
	Fence       Fence  `json:"fence"`
}

// EngineCall is a message to an engine that raises its fence and may carry an order.
type EngineCall struct {
	Engine  string `json:"engine"`
	Address string `json:"address"`
	Fence   Fence  `json:"fence"`
	Order   *Order `json:"order,omitempty"`
}
