package gate

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxLinkBacklog is how long a host's link may be busy with the bodies that were asked
// for: what is small, such as a call of a running upstream, waits behind them.
// With 100 ms the links of 10 Mbit/s of cushion-mesh-grown stood idle between
// bodies and uploads waited (0.717 of worth), with 500 ms calls waited (0.742);
// 250 ms gave 0.757.
const MaxLinkBacklog = 250 * time.Millisecond

// Load is what a gate tells of itself on each answer.
type Load struct {
	// Busy counts the requests in progress and waiting.
	Busy int
	// Slots is the limit of requests in progress.
	Slots int
	// ServiceTime is the mean time that a request holds its slot.
	ServiceTime time.Duration
	// LinkBacklog is how long the host's link is busy with the bodies that the gate
	// has asked for or is about to.
	LinkBacklog time.Duration
}

// String gives the form of the load header: busy, slots, and the times in
// microseconds; a backlog is left out where there is none.
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

// ParseLoad reads what String wrote.
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
