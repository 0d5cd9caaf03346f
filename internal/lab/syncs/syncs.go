// Package syncs states how many syncs in a row the writes of a control replica take, for the simulator and the soak.
package syncs

import "time"

// Numbers of syncs in a row, as storage.Log carries them out. A checkpoint syncs its file and its name, opens it again, and
// syncs the removal of the segment before; the first segment of an empty folder does the same but for the last; opening a log
// syncs its newest segment.
const (
	Append     = 1
	Checkpoint = 4
	FirstState = 3
	Open       = 1
)

// Repair is the number of syncs in a row that the replacement of a lost leader needs: a vote, the first entry of a term, the
// files of an empty replica, the entry with which it joins, its first state, and the entries that promote it and remove its
// predecessor.
const Repair = FirstState + Checkpoint + 5*Append

// RepairTime returns how long the replacement of a lost machine may take: the time to catch up, or as long as its syncs in a
// row take after the time in which its loss is noticed, if that is longer because each takes long.
func RepairTime(catchUp, repairAfter, sync time.Duration) time.Duration {
	return max(catchUp, repairAfter+Repair*sync)
}
