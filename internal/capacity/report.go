package capacity

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// heartbeatSizes are the fleets whose heartbeats are run, in hosts.
var heartbeatSizes = []int{25, 50, 100, 200, 400}

// Report measures everything, prints the slopes and the figures at the size to
// design for.
func Report(w io.Writer) error {
	return reportHeartbeats(w)
}

func reportHeartbeats(w io.Writer) error {
	sizes, err := SignalBytes()
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		fmt.Fprintf(w, "signal=%s bytes=%.0f\n", name, sizes[name])
	}
	for _, signals := range []bool{false, true} {
		for _, n := range heartbeatSizes {
			h, err := MeasureHeartbeats(n, signals)
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "heartbeats hosts=%d signals=%t core_share=%.5f calls_per_s=%.2f bytes_per_s=%.0f steady_bytes_per_s=%.0f"+
				" observation_bytes=%.0f signal_bytes=%.0f memory_bytes=%.0f members_us=%.1f\n",
				h.Hosts, signals, h.CoreShare, h.CallsPerSecond, h.BytesPerSecond, h.SteadyBytes(),
				h.ObservationBytes, h.SignalBytes, h.MemoryBytes, 1e6*h.MembersSeconds)
		}
	}
	return nil
}
