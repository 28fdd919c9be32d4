package driver

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

var (
	badSeeds  = flag.Int("bad-seeds", 20, "plays of each bad version")
	only      = flag.String("only", "", "play only the rows whose name holds this")
	goodSeeds = flag.Int("good-seeds", 200, "plays of each good version")
)

func BenchmarkBad(b *testing.B) {
	fmt.Println(BadHead)
	for _, fault := range Faults {
		for _, onset := range Onsets {
			for _, n := range []int{3, 5, 28} {
				for _, busy := range []bool{true, false} {
					name := fmt.Sprintf("%s, %s, %d, %s", fault, onset, n, Traffic(busy))
					if !strings.Contains(name, *only) {
						continue
					}
					row := PlayAll(name, Config{Fault: fault, Onset: onset, Upstreams: n, Busy: busy}, *badSeeds)
					fmt.Println(row.Bad(), row.Wrong)
				}
			}
		}
	}
}

func BenchmarkGood(b *testing.B) {
	fmt.Println(GoodHead)
	for _, trouble := range Troubles {
		if !strings.Contains(string(trouble), *only) {
			continue
		}
		row := PlayAll(string(trouble), Config{Trouble: trouble}, *goodSeeds)
		fmt.Println(row.Good(), row.Wrong)
	}
}
