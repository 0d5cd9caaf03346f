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

// Request is what a router or operator asks a control replica. Exactly one field is set.
type Request struct {
	Heartbeat *Heartbeat        `json:"heartbeat,omitempty"`
	Claim     *ledger.Claim     `json:"claim,omitempty"`
	End       *ledger.End       `json:"end,omitempty"`
	Change    *settings.Change  `json:"change,omitempty"`
	Read      *Read             `json:"read,omitempty"`
	Status    *StatusRequest    `json:"status,omitempty"`
	Join      *consensus.Member `json:"join,omitempty"`
	Catalog   *catalog.Command  `json:"catalog,omitempty"` // replace the document, or name a version
	Beat      *Beat             `json:"beat,omitempty"`
	Beats     []Beat            `json:"beats,omitempty"` // gathered by another replica
	Signs     []Sign            `json:"signs,omitempty"` // the same, of back ends of which there is nothing new
	Watch     *Watch            `json:"watch,omitempty"`
	Document  *DocumentRequest  `json:"document,omitempty"`

	Relay  *relay.Question     `json:"relay,omitempty"`  // a replica asks for the gateways that ask it
	Borrow *allowance.Question `json:"borrow,omitempty"` // a gateway asks for amounts of limited resources
}

// DocumentRequest asks for the routing document in force.
type DocumentRequest struct{}

// Heartbeat renews a router's session and settings lease.
type Heartbeat struct {
	Router      string `json:"router"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Epoch       uint64 `json:"epoch"`        // 0: no session yet
	Acked       uint64 `json:"acked"`        // settings version synced and in use
	HasSettings bool   `json:"has_settings"` // false asks for the whole tree
	Closing     bool   `json:"closing"`      // planned stop: end the session
	PeersSeen   uint64 `json:"peers_seen"`   // version of the router list that the router holds
	Quarantine  uint64 `json:"quarantine"`   // version of the news of requests that end their back ends that it holds
}

// PeerList names the routers with a session.
type PeerList struct {
	Version uint64 `json:"version"`
	Peers   []Peer `json:"peers"`
}

// Peer is one router.
type Peer struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // for other routers; empty when it listens to none
}

// HeartbeatReply grants a lease, counted by the router from the moment it sent the heartbeat.
type HeartbeatReply struct {
	Epoch   uint64          `json:"epoch"`
	Lease   time.Duration   `json:"lease_ns"` // 0: no lease until the version below is acknowledged
	Version uint64          `json:"version"`
	Base    uint64          `json:"base"` // version the edits start from
	Edits   []settings.Edit `json:"edits,omitempty"`
	Tree    *settings.Tree  `json:"tree,omitempty"`  // instead of edits, for a router too far behind
	Peers   *PeerList       `json:"peers,omitempty"` // when it differs from what the router holds

	Quarantine *quarantine.News `json:"quarantine,omitempty"` // the same
}

// Read asks for the current tree.
type Read struct {
	History bool `json:"history,omitempty"`
}

// ReadReply is a current view: the replica held the leader lease when it answered.
type ReadReply struct {
	Version uint64                  `json:"version"`
	InForce uint64                  `json:"in_force"`
	Tree    settings.Tree           `json:"tree"`
	History []settings.HistoryEntry `json:"history,omitempty"`
}

// StatusRequest asks any replica what it knows.
type StatusRequest struct{}

// StatusReply is one replica's view.
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
	Level     level.Level    `json:"level"` // in force
	Build     level.Level    `json:"build"` // level of the answering replica's build
	Members   []MemberStatus `json:"members"`
	Routers   []RouterStatus `json:"routers,omitempty"`
	Engines   []EngineStatus `json:"engines,omitempty"`

	Limits []allowance.State `json:"limits,omitempty"` // of what is limited over the fleet; of the leader only
	Named  []allowance.State `json:"named,omitempty"`  // of back ends that name their limits, those of which most was refused; of the leader only
	// Suspects are the requests under which more than one back end ended; of the leader only.
	Suspects []quarantine.Entry `json:"suspects,omitempty"`
}

// MemberStatus is one control replica as the answering one sees it.
type MemberStatus struct {
	consensus.Member
	Match  uint64        `json:"match"`
	Silent time.Duration `json:"silent_ns"`
	Level  level.Level   `json:"level"` // of its build, as the leader heard it last; 0 from other replicas
}

// RouterStatus is one router session as the leader sees it.
type RouterStatus struct {
	Session
	Acked     uint64        `json:"acked"`
	LeaseLeft time.Duration `json:"lease_left_ns"`
}

// EngineStatus compares what an engine should hold with what it reports.
type EngineStatus struct {
	EngineReport
	Wanted string `json:"wanted"`
}

// ResponseKind tells whether a request was carried out.
type ResponseKind string

// Kinds of response.
const (
	ResponseOK        ResponseKind = "ok"
	ResponseNotLeader ResponseKind = "not-leader"  // ask the leader, if named
	ResponseNoQuorum  ResponseKind = "unavailable" // no quorum confirmed this replica; nothing was done
	ResponseUnknown   ResponseKind = "unknown"     // the change may or may not commit; resend with the same id
	ResponseNotFormed ResponseKind = "not-formed"  // the group has not reached its configured size yet
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
	Lent            *allowance.Answer `json:"lent,omitempty"`
	Relayed         *relay.Answer     `json:"relayed,omitempty"`
	UnknownBackends []string          `json:"strangers,omitempty"` // back ends of which the leader wants a whole heartbeat
}

// Reply is a response for one waiting client.
type Reply struct {
	Client   uint64
	Response Response
}

// EngineReport is what an engine says of its weights and fence.
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

// EngineCall is a message for an engine: an order, or only a fence to raise.
type EngineCall struct {
	Engine  string `json:"engine"`
	Address string `json:"address"`
	Fence   Fence  `json:"fence"`
	Order   *Order `json:"order,omitempty"`
}
