package operated

import (
	"slices"
	"testing"
)

// The first few peers, which hold a departure, must not all be of one data centre: its
// loss would take the departure with it.
func TestFirstPeersAreOfSeveralDataCentres(t *testing.T) {
	for _, tc := range []struct{ near, far, want []string }{
		{nil, nil, nil},
		{[]string{"n1", "n2", "n3", "n4"}, []string{"f1"}, []string{"n1", "f1", "n2", "n3", "n4"}},
		{[]string{"n1"}, []string{"f1", "f2", "f3"}, []string{"n1", "f1", "f2", "f3"}},
		{nil, []string{"f1", "f2"}, []string{"f1", "f2"}},
	} {
		if got := alternate(tc.near, tc.far); !slices.Equal(got, tc.want) {
			t.Errorf("%v and %v: %v, want %v", tc.near, tc.far, got, tc.want)
		}
	}
}
