package core

import (
	"slices"

	"kitetiller/internal/prefix"
)

// maxSweepPerTick bounds the index entries checked for expiry in one tick, and so the delay of decisions.
const maxSweepPerTick = 16

// runIndexMaintenance requests cache snapshots after gaps in cache events and removes expired index entries.
func (c *Core) runIndexMaintenance() {
	c.snapshotsWanted = slices.DeleteFunc(c.snapshotsWanted, func(id prefix.EngineID) bool { return !c.backends[id].needsSnapshot })
	for _, id := range c.snapshotsWanted {
		row := &c.backends[id]
		if c.now >= row.snapshotRequestedAt+snapshotRetryInterval && row.state == BackendReady {
			row.snapshotRequestedAt = c.now
			c.emit(ActionRequestSnapshot{Backend: row.machine.Name, Address: row.machine.Address})
		}
	}
	c.index.Sweep(c.now, maxSweepPerTick)
}
