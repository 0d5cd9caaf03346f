package fleet

import "time"

// pause lets the fleet go on for a while. No test fails because something took longer.
func pause() { time.Sleep(700 * time.Millisecond) }
