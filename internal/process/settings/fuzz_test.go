package settings

import (
	"testing"
)

// FuzzParse checks that Parse returns settings or at least one fault, and that
// each fault has a code, a message and no negative line.
func FuzzParse(f *testing.F) {
	f.Add("[node]\nregion = r\n")
	f.Add("[callers]\nlisten = 127.0.0.1:80\n[peers]\nlisten = 127.0.0.1:80\n")
	f.Add("[store]\ntimeout = 3 parsecs\nnonsense\n[unknown]\nx=1")
	f.Fuzz(func(t *testing.T, text string) {
		s, faults := Parse(text)
		if s == nil && len(faults) == 0 {
			t.Error("Parse returned neither settings nor a fault")
		}
		for _, fault := range faults {
			if fault.Code == 0 || fault.Message == "" || fault.Line < 0 {
				t.Errorf("incomplete fault: %+v", fault)
			}
		}
	})
}
