package gate

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxLinkBacklog is how long a host's link may be busy with the bodies that
// were requested. Small messages, such as calls of a running upstream, wait
// behind them. In the scenario cushion-mesh-grown, with links of 10 Mbit/s, 100
// ms left the links idle between bodies while uploads waited (a score of 0.717),
// and with 500 ms calls waited (0.742); 250 ms gave 0.757.
const MaxLinkBacklog = 250 * time.Millisecond

// Load is the load that a gate reports in each response.
type Load struct {
	// Busy counts the requests in progress and waiting.
	Busy int
	// Slots is the limit of requests in progress.
	Slots int
	// ServiceTime is the mean time that a request holds its slot.
	ServiceTime time.Duration
	// LinkBacklog is how long the host's link will be busy with the bodies that
	// the gate has requested or is about to request.
	LinkBacklog time.Duration
}

// String encodes the load for its header: busy, slots, and the times in
// microseconds. The backlog is left out if it is zero.
func (l Load) String() string {
	var b [64]byte
	out := strconv.AppendInt(b[:0], int64(l.Busy), 10)
	out = append(out, ' ')
	out = strconv.AppendInt(out, int64(l.Slots), 10)
	out = append(out, ' ')
	out = strconv.AppendInt(out, l.ServiceTime.Microseconds(), 10)
	if backlog := l.LinkBacklog.Microseconds(); backlog > 0 {
		out = append(out, ' ')
		out = strconv.AppendInt(out, backlog, 10)
	}
	return string(out)
}

// ParseLoad decodes a load encoded by String.
func ParseLoad(s string) (Load, error) {
	fields := strings.Split(s, " ")
	if len(fields) != 3 && len(fields) != 4 {
		return Load{}, fmt.Errorf("load %q: %d fields", s, len(fields))
	}
	var numbers [4]uint64
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
	}, nil
}
