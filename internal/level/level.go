// Package level tells apart builds that run side by side, by what they know of each other's records.
//
// Each build has a level, its Own. Members of the control group tell theirs with every message. Once all of them have told one for a while,
// the leader raises the level in force to it, by an entry of the replicated log. From then on the log and its snapshots may hold what a build of
// that level knows, so that one of a lower level refuses to run: it would apply an entry only in part, and no longer hold what the others hold.
// Before that, a member may go back to the build that it came from, and nothing is written that this one can't read.
//
// A change of what the log may hold, or of what an entry does, takes a level of its own and looks at the level in force. A field that may be left out,
// of a message or a file that nobody else applies, doesn't: whoever doesn't know it passes over it.
package level

import "github.com/rotisserie/eris"

// Level is what a build knows: all that is written at this level or a lower one.
type Level uint64

const (
	// Unannounced is that of builds that tell none. They apply an entry that raises the level as one that does nothing.
	Unannounced Level = 0
	// Announced is that of builds that tell theirs, and refuse what is above it.
	Announced Level = 1
	// Current is that of this build.
	Current = Announced
)

// ErrTooOld says that a build met records of a higher level than its own. A caller can tell it with errors.Is.
var ErrTooOld = eris.New("this program is too old for the control group")

// CheckSupports returns ErrTooOld if a build doesn't know all that is written while a level is in force.
func (l Level) CheckSupports(inForce Level) error {
	if inForce <= l {
		return nil
	}
	return eris.Wrapf(ErrTooOld, "the group runs at level %d, this program knows levels up to %d; start a newer program", inForce, l)
}
