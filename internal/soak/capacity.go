package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	// hostBytes is the memory that one host takes in a run.
	hostBytes = 64 << 20
	// maxBytes and maxMemoryShare bound the memory that all hosts of a run take, and maxHosts
	// their number, because the machine is shared.
	maxBytes       = 16 << 30
	maxMemoryShare = 0.5
	maxHosts       = 300
)

// checkHosts returns an error if the machine does not bear a number of hosts.
func checkHosts(n int) error {
	total, err := memoryBytes()
	if err != nil {
		return err
	}
	limit := min(maxHosts, int(min(maxBytes, maxMemoryShare*total)/hostBytes))
	if n < 1 || n > limit {
		return fmt.Errorf("%d hosts: this machine bears 1 to %d", n, limit)
	}
	return nil
}

// memoryBytes returns the memory of the machine.
func memoryBytes() (float64, error) {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(info), "MemTotal:")
	kib, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, err := strconv.ParseFloat(kib, 64)
	return n * 1024, err
}
