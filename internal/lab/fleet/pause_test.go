package fleet

import "time"

// pause waits between steps and polls. No test relies on anything finishing within one pause.
func pause() { time.Sleep(700 * time.Millisecond) }
