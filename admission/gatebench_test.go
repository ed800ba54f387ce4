package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// BenchmarkGateAdmitOverload measures a decision under overload with many teams in three ranks.
func BenchmarkGateAdmitOverload(b *testing.B) {
	for _, teams := range []int{10, 150} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			clock := clockwork.NewFakeClock()
			g := overloadedGate(clock, 1.5)
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprint("team", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				g.Admit(GateRequest{Team: names[i%teams], Rank: 3 * (i / teams % 3), Key: uint64(i + 1), Left: time.Minute, Load: 1.5})
			}
		})
	}
}
