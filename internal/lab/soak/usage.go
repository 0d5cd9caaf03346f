package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// DataBytes returns the size of the files in the data folder of the process. Files that vanish meanwhile don't count.
func (p *Process) DataBytes() int64 {
	total := int64(0)
	_ = filepath.WalkDir(p.Folder(), func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}

// PeakMemoryBytes returns the highest resident size of the running process, or 0 if it isn't running.
func (p *Process) PeakMemoryBytes() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		var kilobytes int64
		if _, err := fmt.Sscanf(lines.Text(), "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}
