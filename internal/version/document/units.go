package document

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time span written with a unit, as in "250ms".
type Duration time.Duration

// UnmarshalJSON reads a string with a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s must be a string with a unit, as in \"250ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q has a missing or unknown unit", s)
	}
	*d = Duration(v)
	return nil
}

func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Size is a number of bytes written with a unit, as in "8MB".
type Size int64

// sizeUnits lists the units of Size, the largest first.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GB", 1_000_000_000},
	{"MB", 1_000_000},
	{"KB", 1_000},
	{"B", 1},
}

// ParseSize parses a number with the unit B, KB, MB or GB.
func ParseSize(s string) (Size, error) {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || v < 0 || v > (1<<62)/u.bytes {
			return 0, fmt.Errorf("size %q is not a whole number with a unit", s)
		}
		return Size(v * u.bytes), nil
	}
	return 0, fmt.Errorf("size %q has no unit (B, KB, MB or GB)", s)
}

// UnmarshalJSON reads a string with a unit.
func (z *Size) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("size %s must be a string with a unit, as in \"8MB\"", b)
	}
	v, err := ParseSize(s)
	if err != nil {
		return err
	}
	*z = v
	return nil
}

// String formats the size in the largest unit that divides it.
func (z Size) String() string {
	for _, u := range sizeUnits {
		if z != 0 && int64(z)%u.bytes == 0 {
			return strconv.FormatInt(int64(z)/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(z), 10) + "B"
}

func (z Size) MarshalJSON() ([]byte, error) {
	return json.Marshal(z.String())
}
