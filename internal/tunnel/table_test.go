package tunnel

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tableModel compares the probes of one address with when they may run.
type tableModel struct {
	table     *Table
	now       time.Duration
	lostSince time.Duration // 0 if the path is not lost
	failures  int           // probes failed since
	probing   bool
	allowedAt time.Duration // earliest next probe
}

const modelAddress = "a"

func (m *tableModel) Wait(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
}

func (m *tableModel) Lose(t *rapid.T) {
	isNew := m.table.RecordLost(m.now, modelAddress)
	if isNew != (m.lostSince == 0) {
		t.Fatalf("RecordLost returned %t", isNew)
	}
	if isNew {
		m.lostSince, m.failures, m.probing, m.allowedAt = m.now, 0, false, m.now+minProbeInterval
	}
}

func (m *tableModel) Probe(t *rapid.T) {
	began := m.table.BeginProbe(m.now, modelAddress)
	if want := m.lostSince > 0 && !m.probing && m.now >= m.allowedAt; began != want {
		t.Fatalf("at %v: BeginProbe returned %t, want %t", m.now, began, want)
	}
	m.probing = m.probing || began
}

func (m *tableModel) EndProbe(t *rapid.T) {
	if !m.probing {
		t.Skip("no probe runs")
	}
	succeeded := rapid.Bool().Draw(t, "succeeded")
	lostFor := m.table.EndProbe(m.now, modelAddress, succeeded)
	m.probing = false
	if succeeded {
		if lostFor != m.now-m.lostSince {
			t.Fatalf("path was lost for %v, want %v", lostFor, m.now-m.lostSince)
		}
		m.lostSince = 0
		return
	}
	m.failures++
	m.allowedAt = m.now + min(minProbeInterval<<m.failures, maxProbeInterval)
}

func (m *tableModel) Check(t *rapid.T) {
	if m.table.IsLost(modelAddress) != (m.lostSince > 0) {
		t.Fatalf("IsLost is %t", m.table.IsLost(modelAddress))
	}
}

// A path stays lost until a probe succeeds. One probe runs at a time, and failures make the interval longer.
func TestPathIsLostUntilAProbeSucceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &tableModel{table: NewTable(), now: time.Second}
		t.Repeat(rapid.StateMachineActions(model))
	})
}

// State of unknown addresses and expired refusals are removed.
func TestSweepBoundsTable(t *testing.T) {
	table := NewTable()
	for _, address := range []string{"gone", "known"} {
		table.RecordLost(0, address)
		table.RecordRefusal(0, "peer", address)
	}
	if !table.Refused(refusalTTL-1, "peer", "gone") || table.Refused(refusalTTL, "peer", "gone") {
		t.Error("a refusal must count for refusalTTL")
	}
	table.Sweep(refusalTTL, func(address string) bool { return address == "known" })
	if table.Len() != 1 || !table.IsLost("known") || len(table.refusals) > 0 {
		t.Errorf("%d paths, %d refusals", table.Len(), len(table.refusals))
	}
}
