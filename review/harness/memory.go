package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryInterval is the time between two looks at the memory of the hosts.
const memoryInterval = 10 * time.Millisecond

// GuardMemory does what the platform does to a process that exceeds its memory: it kills the
// process, and starts it again. stop ends that and returns how often each host was killed.
func (f *Fleet) GuardMemory(limitMiB int) (stop func() map[string]int) {
	killed := make(map[string]int)
	peaks := make(map[string]int)
	done := make(chan struct{})
	var guards sync.WaitGroup
	var mu sync.Mutex
	for _, h := range f.Hosts {
		guards.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(memoryInterval):
				}
				used := h.residentMiB()
				mu.Lock()
				peaks[h.Name] = max(peaks[h.Name], used)
				mu.Unlock()
				if used <= limitMiB {
					continue
				}
				f.record.Printf("%s has %d MiB in memory, over %d: SIGKILL, as the platform does", h.Name, used, limitMiB)
				mu.Lock()
				killed[h.Name]++
				mu.Unlock()
				_ = h.Signal(syscall.SIGKILL) // it may have ended
				<-h.Exited()
				if err := f.Launch(h); err != nil {
					f.record.Printf("%s did not start again: %v", h.Name, err)
					return
				}
			}
		})
	}
	return func() map[string]int {
		close(done)
		guards.Wait()
		f.record.Printf("most memory, in MiB: %v", peaks)
		return killed
	}
}

// residentMiB returns the memory that the process of the host has resident, 0 if it has none.
func (h *Host) residentMiB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kilobytes / 1024
		}
	}
	return 0
}
