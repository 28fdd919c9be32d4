package gate

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Load is the load that a gate reports in each response.
type Load struct {
	// Busy counts the requests in progress and waiting.
	Busy int
	// Slots is the limit of requests in progress.
	Slots int
	// ServiceTime is the mean time that a request holds its slot.
	ServiceTime time.Duration
	// LinkBacklog is how long the host's link will be busy with what it receives:
	// the bodies that the gate has requested or is about to request, and the large
	// responses that the entry expects. ResponseBacklog is the same for what the host
	// sends.
	LinkBacklog, ResponseBacklog time.Duration
}

// String encodes the load for its header: busy, slots, and the times in
// microseconds. Backlogs at the end that are zero are left out.
func (l Load) String() string {
	var b [80]byte
	out := strconv.AppendInt(b[:0], int64(l.Busy), 10)
	out = append(out, ' ')
	out = strconv.AppendInt(out, int64(l.Slots), 10)
	out = append(out, ' ')
	out = strconv.AppendInt(out, l.ServiceTime.Microseconds(), 10)
	backlog, responses := l.LinkBacklog.Microseconds(), l.ResponseBacklog.Microseconds()
	if backlog > 0 || responses > 0 {
		out = append(out, ' ')
		out = strconv.AppendInt(out, backlog, 10)
	}
	if responses > 0 {
		out = append(out, ' ')
		out = strconv.AppendInt(out, responses, 10)
	}
	return string(out)
}

// ParseLoad decodes a load encoded by String.
func ParseLoad(s string) (Load, error) {
	fields := strings.Split(s, " ")
	if len(fields) < 3 || len(fields) > 5 {
		return Load{}, fmt.Errorf("load %q: %d fields", s, len(fields))
	}
	var numbers [5]uint64
	for i, field := range fields {
		n, err := strconv.ParseUint(field, 10, 31)
		if err != nil {
			return Load{}, fmt.Errorf("load %q: %w", s, err)
		}
		numbers[i] = n
	}
	return Load{
		Busy: int(numbers[0]), Slots: int(numbers[1]),
		ServiceTime: time.Duration(numbers[2]) * time.Microsecond, LinkBacklog: time.Duration(numbers[3]) * time.Microsecond,
		ResponseBacklog: time.Duration(numbers[4]) * time.Microsecond,
	}, nil
}
