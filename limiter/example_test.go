package limiter_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/limiter"
)

func ExampleCrashGuard() {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	guard := limiter.NewCrashGuard(clock, time.Second)
	const bad = limiter.Hash(7)

	guard.RecordCrash("engine-1", []limiter.Hash{bad, 8})
	fmt.Println(guard.Admit(bad).Admission == limiter.AdmitWait)
	clock.Advance(time.Second)
	fmt.Println(guard.Admit(bad).Admission == limiter.AdmitProbation)
	guard.RecordCrash("engine-2", []limiter.Hash{bad})
	fmt.Println(guard.Admit(bad).Admission == limiter.AdmitReject)
	fmt.Println(guard.Admit(8).Admission == limiter.AdmitNormal)
	// Output:
	// true
	// true
	// true
	// true
}
