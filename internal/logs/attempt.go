package logs

import (
	"fmt"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Attempt describes one attempt of a request: the node that it was sent to, the
// result and the time taken. It is formatted only when a log line with it is
// written.
type Attempt struct {
	Node string
	Code api.Code
	Took time.Duration
}

// MarshalText implements encoding.TextMarshaler.
func (a Attempt) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%s %s %dms", a.Node, a.Code, a.Took.Milliseconds()), nil
}
