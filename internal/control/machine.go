// Package control implements the replicated control plane. It stores the settings tree, the catalog of back ends and
// gateways, the run ledger, the routers' sessions and the fences of orders to engines.
//
// Machine is the replicated state. Replica combines it with a consensus node and decides what a leader does, without
// I/O. Server runs a Replica with sockets, disk and goroutines.
package control

import (
	"encoding/json"
	"fmt"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
	"kitetiller/internal/ledger"
	"kitetiller/internal/level"
	"kitetiller/internal/payload"
	"kitetiller/internal/settings"
)

// Session is a router's registration. Its epoch is the index of the log entry that opened it, which makes it unique.
type Session struct {
	Router      string `json:"router"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Epoch       uint64 `json:"epoch"`
}

// Fence orders the commands to an engine, by term and then by the log index of the command.
type Fence struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f is older than other.
func (f Fence) Less(other Fence) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Sequence < other.Sequence
}

// Order is an order to one incarnation of an engine to load weights.
type Order struct {
	Engine      string `json:"engine"`
	Incarnation uint64 `json:"incarnation"`
	Weights     string `json:"weights"`
	Fence       Fence  `json:"fence"`
}

// Command is one entry of the replicated log. Exactly one pointer is set.
type Command struct {
	UnixMS       int64            `json:"ms"` // leader's wall clock; the machine's clock never goes back
	Change       *settings.Change `json:"change,omitempty"`
	Claim        *ledger.Claim    `json:"claim,omitempty"`
	End          *ledger.End      `json:"end,omitempty"`
	OpenSession  *Session         `json:"open,omitempty"`
	CloseSession *ledger.Holder   `json:"close,omitempty"`
	Order        *Order           `json:"order,omitempty"`
	Catalog      *catalog.Command `json:"catalog,omitempty"`
	Level        level.Level      `json:"level,omitempty"` // new level in force, if higher than the current one
}

// Result is the outcome of applying a command.
type Result struct {
	Change  *settings.Outcome
	Claim   *ledger.Outcome
	Session *Session
	Order   *Order
	Catalog *catalog.Outcome
}

// Machine is the replicated state.
type Machine struct {
	settings     *settings.Machine
	ledger       *ledger.Ledger
	catalog      *catalog.Machine
	sessions     map[string]Session // by router name
	orders       map[string]Order   // newest order, by engine name
	peersVersion uint64             // log index of the last opened or closed session
	nowMS        int64
	level        level.Level // level in force; never decreases
}

// NewMachine returns an empty state.
func NewMachine(guards guard.Set) *Machine {
	machine := &Machine{
		settings: settings.NewMachine(), ledger: ledger.New(), catalog: catalog.NewMachine(),
		sessions: map[string]Session{}, orders: map[string]Order{},
	}
	machine.settings.Guards, machine.catalog.Guards = guards, guards
	return machine
}

// Settings returns the settings state. Callers must not modify it.
func (m *Machine) Settings() *settings.Machine { return m.settings }

// Ledger returns the run ledger. Callers must not modify it.
func (m *Machine) Ledger() *ledger.Ledger { return m.ledger }

// Catalog returns the catalog of back ends and gateways. Callers must not modify it.
func (m *Machine) Catalog() *catalog.Machine { return m.catalog }

// Sessions returns the open sessions by router name.
func (m *Machine) Sessions() map[string]Session { return m.sessions }

// Peers returns the routers with an open session, sorted by name.
func (m *Machine) Peers() *PeerList {
	list := &PeerList{Version: m.peersVersion}
	for _, name := range sortedKeys(m.sessions) {
		session := m.sessions[name]
		list.Peers = append(list.Peers, Peer{Name: name, Zone: session.Zone, Address: session.Address})
	}
	return list
}

// Level returns the level in force.
func (m *Machine) Level() level.Level { return m.level }

// Orders returns the newest order of each engine, by engine name.
func (m *Machine) Orders() map[string]Order { return m.orders }

// sessionOpen reports whether a session is the current one of its router.
func (m *Machine) sessionOpen(holder ledger.Holder) bool {
	session, found := m.sessions[holder.Router]
	return found && session.Epoch == holder.Epoch
}

// Apply applies one committed command.
func (m *Machine) Apply(index, term uint64, command Command) Result {
	m.nowMS = max(m.nowMS, command.UnixMS)
	switch {
	case command.Change != nil:
		outcome := m.settings.Apply(*command.Change, m.nowMS)
		return Result{Change: &outcome}
	case command.Claim != nil:
		outcome := m.ledger.Claim(*command.Claim, m.nowMS, m.sessionOpen(command.Claim.Holder))
		return Result{Claim: &outcome}
	case command.End != nil:
		m.ledger.End(*command.End, m.nowMS)
	case command.OpenSession != nil:
		session := m.openSession(index, *command.OpenSession)
		return Result{Session: &session}
	case command.CloseSession != nil:
		m.closeSession(index, *command.CloseSession)
	case command.Order != nil:
		order := *command.Order
		order.Fence = Fence{Term: term, Sequence: index}
		m.orders[order.Engine] = order
		return Result{Order: &order}
	case command.Level > m.level:
		m.level = command.Level
	}
	return Result{}
}

// openSession opens a session in place of the router's previous one. It returns epoch 0 if that one belongs to a newer
// incarnation.
func (m *Machine) openSession(index uint64, session Session) Session {
	previous, found := m.sessions[session.Router]
	if found && previous.Incarnation > session.Incarnation {
		return Session{Router: session.Router, Incarnation: session.Incarnation}
	}
	if found {
		m.ledger.CloseSession(ledger.Holder{Router: previous.Router, Epoch: previous.Epoch})
	}
	session.Epoch = index
	m.sessions[session.Router] = session
	m.peersVersion = index
	return session
}

func (m *Machine) closeSession(index uint64, holder ledger.Holder) {
	if !m.sessionOpen(holder) {
		return
	}
	delete(m.sessions, holder.Router)
	m.peersVersion = index
	m.ledger.CloseSession(holder)
}

// machineSnapshot is the encoded form of a Machine.
type machineSnapshot struct {
	Settings *settings.Machine  `json:"settings"`
	Ledger   *ledger.Ledger     `json:"ledger"`
	Sessions map[string]Session `json:"sessions"`
	Orders   map[string]Order   `json:"orders"`
	NowMS    int64              `json:"now_ms"`
	PeersAt  uint64             `json:"peers_at"`
	Catalog  *catalog.Machine   `json:"catalog"`
	Level    level.Level        `json:"level,omitempty"`
}

// Snapshot returns the encoded state, compressed if the level in force allows it.
func (m *Machine) Snapshot() []byte {
	data, err := json.Marshal(machineSnapshot{m.settings, m.ledger, m.sessions, m.orders, m.nowMS, m.peersVersion, m.catalog, m.level})
	if err != nil {
		panic(fmt.Sprintf("control: failed to encode the replicated state: %v", err))
	}
	return compressAt(m.level, data)
}

// Restore replaces the state with a snapshot.
func (m *Machine) Restore(data []byte) error {
	form := machineSnapshot{Settings: settings.NewMachine(), Ledger: ledger.New(), Catalog: m.catalog.Blank()}
	data, err := payload.Expand(data, maxExpandedBytes)
	if err == nil {
		err = json.Unmarshal(data, &form)
	}
	if err != nil {
		return err
	}
	form.Settings.Guards, form.Catalog.Guards = m.settings.Guards, m.catalog.Guards
	m.settings, m.ledger, m.nowMS = form.Settings, form.Ledger, form.NowMS
	m.peersVersion, m.catalog, m.level = form.PeersAt, form.Catalog, form.Level
	m.sessions, m.orders = form.Sessions, form.Orders
	if m.sessions == nil {
		m.sessions = map[string]Session{}
	}
	if m.orders == nil {
		m.orders = map[string]Order{}
	}
	return nil
}
