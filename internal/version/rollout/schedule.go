package rollout

import (
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

// wholeShare is the share, in percent, of a completed move.
const wholeShare = 100.0

// ShareAt returns the percentage of calls that the schedule alone sends to
// the new version at now.
func ShareAt(r *document.Rollout, now time.Time) float64 {
	if now.Before(r.Start) {
		return 0
	}
	if !now.Before(r.Deadline) {
		return wholeShare
	}
	shares := append([]float64{r.FirstShare}, r.Steps...)
	part := float64(now.Sub(r.Start)) / float64(r.Deadline.Sub(r.Start))
	return shares[min(int(part*float64(len(shares))), len(shares)-1)]
}
