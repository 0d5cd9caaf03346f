// Package syncs states how many syncs in a row the writes of a control replica take, for the simulator and the soak.
package syncs

import "time"

// Numbers of syncs in a row, as storage.Log carries them out. A checkpoint syncs its file and then its name, and so does the
// creation of a folder, while the replica runs already; opening a log syncs its newest segment.
const (
	Append     = 1
	Checkpoint = 2
	Create     = 2
	Open       = 1
)

// repairWrites is the number of writes in a row that the replacement of a lost leader needs: the votes, the first entry of a
// term, the entry that removes the predecessor, and the one that promotes the successor.
const repairWrites = 4

// Repair is the number of syncs in a row that the replacement of a lost leader needs. Each of its writes may wait for another
// one, one of them for a checkpoint.
const Repair = repairWrites*Append + (repairWrites-1)*Append + Checkpoint

// RepairTime returns how long the replacement of a lost machine may take: the time to catch up, or as long as its syncs in a
// row take after the time in which its loss is noticed, if that is longer because each takes long.
func RepairTime(catchUp, repairAfter, sync time.Duration) time.Duration {
	return max(catchUp, repairAfter+Repair*sync)
}
