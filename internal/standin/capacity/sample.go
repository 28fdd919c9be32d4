package capacity

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of processor-time ticks in a second on Linux.
const clockTicks = 100

// frameOverheadBytes are the TCP and IP headers of one message.
const frameOverheadBytes = 66

// Fields of /proc/PID/stat after the command's closing bracket, from 0.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// sample is the state of a fleet's counters at one moment, summed over nodes.
type sample struct {
	at time.Time
	// processor is the processor time used, in seconds.
	processor float64
	// controlBytes are sent and received by the nodes, headers included.
	controlBytes float64
	storeCalls   float64
	// residentMB and heapMB are the means per node, residentMax the largest.
	residentMB  float64
	residentMax float64
	heapMB      float64
	links       float64
}

// take reads all counters.
func (f *fleet) take(ctx context.Context) (sample, error) {
	s := sample{at: time.Now(), storeCalls: float64(f.store.Counts().Total())}
	n := float64(len(f.hosts))
	for _, h := range f.hosts {
		ticks, err := processorTicks(h.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		resident, err := residentMB(h.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.processor += float64(ticks) / clockTicks
		s.residentMB += resident / n
		s.residentMax = max(s.residentMax, resident)
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

// controlBytes are those of links and questions, with the headers of as many
// messages received as were sent.
func (v vars) controlBytes() float64 {
	payload := float64(v.Daisytide.LinkSent + v.Daisytide.LinkReceived + v.Daisytide.Questions)
	return payload + 2*frameOverheadBytes*float64(v.Daisytide.Messages)
}

// processorTicks reads the user and system time of a process.
func processorTicks(pid int) (uint64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	_, after, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statSystemTicks {
		return 0, fmt.Errorf("read processor time of %d: %d fields", pid, len(fields))
	}
	user, err := strconv.ParseUint(fields[statUserTicks], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	system, err := strconv.ParseUint(fields[statSystemTicks], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return user + system, nil
}

// residentMB reads the resident memory of a process in megabytes.
func residentMB(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	for line := range strings.Lines(string(b)) {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err != nil {
			return 0, fmt.Errorf("read memory: %w", err)
		}
		return kb * 1024 / 1e6, nil
	}
	return 0, fmt.Errorf("process %d has no resident memory", pid)
}

// Rates are a phase's costs per node.
type Rates struct {
	Seconds float64
	// ProcessorShare is the share of one core, in percent.
	CPUPercent float64
	// BytesPerSecond are control bytes, sent and received.
	ControlBytesPerSecond float64
	// StoreCalls per second are of the whole fleet.
	StoreCallsPerSecond float64
	ResidentMB          float64
	HeapMB              float64
	Links               float64
}

func rates(from, to sample, nodes int) Rates {
	seconds := to.at.Sub(from.at).Seconds()
	n := float64(nodes)
	return Rates{
		Seconds:               seconds,
		CPUPercent:            100 * (to.processor - from.processor) / seconds / n,
		ControlBytesPerSecond: (to.controlBytes - from.controlBytes) / seconds / n,
		StoreCallsPerSecond:   (to.storeCalls - from.storeCalls) / seconds,
		ResidentMB:            to.residentMB,
		HeapMB:                to.heapMB,
		Links:                 to.links,
	}
}
