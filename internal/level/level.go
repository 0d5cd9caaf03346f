// Package level defines the compatibility level of a build, so that members of different builds can run in one control
// group.
//
// Members announce the level of their build with every message. After all members have announced a level for some
// time, the leader raises the level in force to it with a log entry. From then on, the log and its snapshots may
// contain records of that level, and builds of a lower level refuse to run: they would apply such entries
// incompletely, and their state would diverge. Before that, members can be rolled back to the previous build, and
// nothing is written that it can't read.
//
// A change to what the log may contain, or to the effect of an entry, requires a new level and must check the level in
// force. Optional fields of messages and of files that are not replicated don't: older builds ignore them.
package level

import "github.com/rotisserie/eris"

// Level is the compatibility level of a build, which supports all records of this level and of lower ones.
type Level uint64

const (
	// Unannounced is the level of builds that announce none. They ignore an entry that raises the level.
	Unannounced Level = 0
	// Announced is the level of the first builds that announce theirs and reject records of higher levels.
	Announced Level = 1
	// Compressed is the level from which on long log entries and snapshots are compressed, and snapshots are sent in parts.
	Compressed Level = 2
	// Contested is the level from which on a deregistration may be contested and its instance reinstated.
	Contested Level = 3
	// Addressed is the level from which on the addresses of gateways are recorded.
	Addressed Level = 4
	// LongLeases is the level from which on a leader may ask voters to reject votes for longer than usual.
	LongLeases Level = 5
	// Current is the level of this build.
	Current = LongLeases
)

// ErrTooOld is returned if records have a higher level than this build supports. Check for it with errors.Is.
var ErrTooOld = eris.New("this build is too old for the control group")

// CheckSupports returns ErrTooOld if a build of level l doesn't support the level in force.
func (l Level) CheckSupports(inForce Level) error {
	if inForce <= l {
		return nil
	}
	return eris.Wrapf(ErrTooOld, "the control group runs at level %d, this build supports levels up to %d; upgrade to a newer build", inForce, l)
}
