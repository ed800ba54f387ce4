package allowance

import (
	"fmt"
	"testing"
)

// TestSumOfHostsIsTheSameInEveryRun guards against a peak that differs in its last digits
// between two runs on equal input, because the hosts are added up in random order.
func TestSumOfHostsIsTheSameInEveryRun(t *testing.T) {
	hosts := make(map[string]float64)
	for i := range 12 {
		hosts[fmt.Sprint("host-", i)] = 0.1 * float64(i*i+1) / 3
	}
	first := sumValues(hosts)
	for range 1000 {
		if sum := sumValues(hosts); sum != first {
			t.Fatalf("sums %v and %v of the same values", first, sum)
		}
	}
}
