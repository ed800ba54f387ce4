package capacity

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Sizes at which the slopes are measured.
var (
	plainSizes    = []int{25, 100, 400}
	signalSizes   = []int{50, 100, 200, 400}
	endpointSizes = []int{500, 1000, 2600, 5200}
	batchSizes    = []int{10, 50, 200, 1000, 2000}
	claimSizes    = []int{1, 8, 32, 128}
	subsetSizes   = []int{130, 260, 520, 1040}
	pickerSizes   = []int{80, 160, 320, 640}
	blockSizes    = []int{1000, 4000, 16000, 32000}

	// reportRounds is the number of load reports over which the cost is averaged.
	reportRounds = 300
)

// reporter prints the measurements and holds the fitted lines by name.
type reporter struct {
	w     io.Writer
	fits  map[string]Line
	small Heartbeats // of the smallest fleet, in which the rules for small fleets apply
	calls Calls
}

// Report runs all measurements and prints the slopes and the figures at the
// design size.
func Report(w io.Writer) error {
	r := &reporter{w: w, fits: make(map[string]Line)}
	for _, step := range []func() error{r.heartbeats, r.configuration, r.billing, r.claims, r.picker, r.service} {
		if err := step(); err != nil {
			return err
		}
	}
	for _, line := range r.measures() {
		r.printf("%s\n", line)
	}
	return nil
}

func (r *reporter) printf(format string, args ...any) { fmt.Fprintf(r.w, format, args...) }

// fit fits a line to the points, stores it under name and prints it.
func (r *reporter) fit(name, unit string, points []Point) {
	l := Fit(points)
	r.fits[name] = l
	var sizes []string
	for _, p := range points {
		sizes = append(sizes, fmt.Sprintf("%.0f:%.4g", p.Size, p.Value))
	}
	r.printf("slope=%s unit=%s intercept=%.4g slope_per_unit=%.4g r2=%.4f points=%s\n",
		name, unit, l.Intercept, l.Slope, l.R2, strings.Join(sizes, ","))
}

// at returns the value of a fitted line at the given size, or zero if it is
// negative.
func (r *reporter) at(name string, size float64) float64 { return max(0, r.fits[name].At(size)) }

func (r *reporter) heartbeats() error {
	sizes, err := SignalBytes()
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		r.printf("signal=%s bytes=%.0f\n", name, sizes[name])
	}
	series := make(map[string][]Point)
	for _, run := range []struct {
		signals bool
		sizes   []int
	}{{false, plainSizes}, {true, signalSizes}} {
		for _, n := range run.sizes {
			h, err := MeasureHeartbeats(n, run.signals)
			if err != nil {
				return err
			}
			r.printf("heartbeats hosts=%d signals=%t core_share=%.5f calls_per_s=%.2f bytes_per_s=%.0f steady_bytes_per_s=%.0f"+
				" observation_bytes=%.0f signal_bytes=%.0f memory_bytes=%.0f members_us=%.1f\n",
				h.Hosts, run.signals, h.CoreShare, h.CallsPerSecond, h.BytesPerSecond, h.SteadyBytes(),
				h.ObservationBytes, h.SignalBytes, h.MemoryBytes, 1e6*h.MembersSeconds)
			size := float64(n)
			series["members_seconds"] = append(series["members_seconds"], Point{size, h.MembersSeconds})
			if run.signals && n == signalSizes[0] {
				r.small = h
			} else if run.signals {
				series["heartbeat_core"] = append(series["heartbeat_core"], Point{size, h.CoreShare})
				series["heartbeat_start_bytes"] = append(series["heartbeat_start_bytes"], Point{size, h.BytesPerSecond})
				series["heartbeat_steady_bytes"] = append(series["heartbeat_steady_bytes"], Point{size, h.SteadyBytes()})
				series["heartbeat_memory"] = append(series["heartbeat_memory"], Point{size, h.MemoryBytes})
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(series)) {
		r.fit(name, "host", series[name])
	}
	return nil
}

func (r *reporter) configuration() error {
	var text, compressed, cpu, memory []Point
	for _, n := range endpointSizes {
		c, err := MeasureConfiguration(n)
		if err != nil {
			return err
		}
		size := float64(n)
		text, compressed = append(text, Point{size, c.JSONBytes}), append(compressed, Point{size, c.GzipBytes})
		cpu, memory = append(cpu, Point{size, c.CPUSeconds}), append(memory, Point{size, c.MemoryBytes})
	}
	r.fit("config_json_bytes", "endpoint", text)
	r.fit("config_value_bytes", "endpoint", compressed)
	r.fit("config_decode_seconds", "endpoint", cpu)
	r.fit("config_memory_bytes", "endpoint", memory)
	return nil
}

func (r *reporter) billing() error {
	var stored, cpu, memory []Point
	for _, n := range batchSizes {
		b, err := MeasureBilling(n)
		if err != nil {
			return err
		}
		size := float64(n)
		stored, cpu = append(stored, Point{size, b.BatchBytes}), append(cpu, Point{size, b.CPUSeconds})
		memory = append(memory, Point{size, b.MemoryBytes})
		r.printf("ledger records=%d copy_calls_per_request=%.3f copy_bytes_per_request=%.0f\n", n, b.CopyCalls, b.CopyBytes)
	}
	r.fit("ledger_batch_bytes", "record", stored)
	r.fit("ledger_cpu_seconds", "record", cpu)
	r.fit("ledger_memory_bytes", "record", memory)
	return nil
}

func (r *reporter) claims() error {
	var writes, bytes []Point
	for _, n := range claimSizes {
		c, err := MeasureClaims(n)
		if err != nil {
			return err
		}
		r.printf("claims at_once=%d writes=%.0f reads=%.0f page_bytes=%.0f\n", n, c.Writes, c.Reads, c.PageBytes)
		writes, bytes = append(writes, Point{float64(n), c.Writes}), append(bytes, Point{float64(n), c.PageBytes})
	}
	r.fit("claim_writes", "claim", writes)
	r.fit("claim_page_bytes", "claim", bytes)
	return nil
}

func (r *reporter) picker() error {
	var endpoints, blocks, subset []Point
	for _, n := range pickerSizes {
		e, _ := PickerMemory(n, 0)
		endpoints = append(endpoints, Point{float64(n), e})
	}
	for _, n := range blockSizes {
		_, b := PickerMemory(1, n)
		blocks = append(blocks, Point{float64(n), b})
	}
	for _, n := range subsetSizes {
		s, chosen := SubsetCost(n)
		r.printf("subset endpoints=%d hosts=%d chosen=%.1f\n", n, Hosts, chosen)
		subset = append(subset, Point{float64(n), s})
	}
	r.fit("picker_endpoint_bytes", "endpoint", endpoints)
	r.fit("picker_block_bytes", "block", blocks)
	r.fit("subset_seconds", "endpoint", subset)
	cost, err := ReportCost(reportRounds)
	r.fits["report_seconds"] = Line{Intercept: cost}
	r.printf("load_report cpu_us=%.1f\n", 1e6*cost)
	return err
}

func (r *reporter) service() error {
	var err error
	if r.calls, err = CountCalls(); err != nil {
		return err
	}
	want := serviceCalls(fleet{hosts: clusterHosts, domains: 3, busyHosts: clusterHosts})
	for _, name := range slices.Sorted(maps.Keys(r.calls.ByMechanism)) {
		r.printf("service_call=%q per_s=%.3f calculated=%.3f hosts=%d\n",
			name, float64(r.calls.ByMechanism[name])/r.calls.Seconds, want[name], clusterHosts)
	}
	r.printf("service_watches=%d requests=%d failed=%d seconds=%.1f error=%v\n", r.calls.Watching, r.calls.Requests, r.calls.Failed, r.calls.Seconds, r.calls.Err)
	return nil
}
