package capacity

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of CPU time ticks per second on Linux.
const clockTicks = 100

// frameOverheadBytes is the size of the TCP and IP headers of one message.
const frameOverheadBytes = 66

// Indexes of fields in /proc/PID/stat after the closing parenthesis of the command
// name, from 0.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// counters holds the counters of a fleet at one time, summed over its nodes.
type counters struct {
	at         time.Time
	cpuSeconds float64
	// controlBytes are the bytes that the nodes sent and received, with headers.
	controlBytes float64
	storeCalls   float64
	// residentMB, heapMB and links are means per node; maxResidentMB is the
	// largest value.
	residentMB    float64
	maxResidentMB float64
	heapMB        float64
	links         float64
}

// sample reads all counters of the fleet.
func (f *fleet) sample(ctx context.Context) (counters, error) {
	s := counters{at: time.Now(), storeCalls: float64(f.store.Counts().Total())}
	n := float64(len(f.hosts))
	for _, h := range f.hosts {
		ticks, err := cpuTicks(h.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		resident, err := residentMB(h.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.cpuSeconds += float64(ticks) / clockTicks
		s.residentMB += resident / n
		s.maxResidentMB = max(s.maxResidentMB, resident)
	}
	for _, h := range f.hosts {
		v, err := f.vars(ctx, h)
		if err != nil {
			return s, err
		}
		s.controlBytes += v.controlBytes()
		s.heapMB += float64(v.Memory.HeapAlloc) / 1e6 / n
		s.links += float64(v.Daisytide.Links) / n
	}
	return s, nil
}

// controlBytes returns the bytes of links and RPC requests. Headers are counted for
// the messages sent and for as many received.
func (v nodeVars) controlBytes() float64 {
	payload := float64(v.Daisytide.LinkSent + v.Daisytide.LinkReceived + v.Daisytide.RPCBytes)
	return payload + 2*frameOverheadBytes*float64(v.Daisytide.Messages)
}

// cpuTicks returns the user and system CPU time of a process, in clock ticks.
func cpuTicks(pid int) (uint64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	_, after, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statSystemTicks {
		return 0, fmt.Errorf("read CPU time of process %d: %d fields", pid, len(fields))
	}
	user, err := strconv.ParseUint(fields[statUserTicks], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	system, err := strconv.ParseUint(fields[statSystemTicks], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	return user + system, nil
}

// residentMB returns the resident memory of a process, in megabytes.
func residentMB(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read resident memory: %w", err)
	}
	for line := range strings.Lines(string(b)) {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err != nil {
			return 0, fmt.Errorf("read resident memory: %w", err)
		}
		return kb * 1024 / 1e6, nil
	}
	return 0, fmt.Errorf("read resident memory: process %d has no VmRSS", pid)
}

// Rates holds the costs of a phase per node.
type Rates struct {
	Seconds float64
	// CPUPercent is the CPU time in percent of one core.
	CPUPercent float64
	// ControlBytesPerSecond counts control bytes sent and received.
	ControlBytesPerSecond float64
	// StoreCallsPerSecond is the rate of the whole fleet.
	StoreCallsPerSecond float64
	ResidentMB          float64
	HeapMB              float64
	Links               float64
}

func ratesBetween(from, to counters, nodes int) Rates {
	seconds := to.at.Sub(from.at).Seconds()
	n := float64(nodes)
	return Rates{
		Seconds:               seconds,
		CPUPercent:            100 * (to.cpuSeconds - from.cpuSeconds) / seconds / n,
		ControlBytesPerSecond: (to.controlBytes - from.controlBytes) / seconds / n,
		StoreCallsPerSecond:   (to.storeCalls - from.storeCalls) / seconds,
		ResidentMB:            to.residentMB,
		HeapMB:                to.heapMB,
		Links:                 to.links,
	}
}
