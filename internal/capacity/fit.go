// Package capacity measures how the cost of the control plane grows with the
// number of hosts, endpoints and requests, and extrapolates it to the design
// size. Everything runs in one process; sockets are on loopback only.
package capacity

import "syscall"

// Design size of the deployment. Domains is the number of failure domains.
const (
	Hosts          = 870
	Endpoints      = 5200
	RequestsPerSec = 18000
	Domains        = 12
)

// Limits on the cost of the control plane on one host.
const (
	MaxCoreShare   = 0.019
	MaxMemoryMB    = 64.0
	MaxKBPerSecond = 12.0
)

// Point is one measurement at a size.
type Point struct{ Size, Value float64 }

// Line is a straight line fitted to points.
type Line struct {
	Intercept, Slope float64
	// R2 is the coefficient of determination.
	R2 float64
}

// Fit returns the least-squares line through the points. If all points have the
// same size, it is the constant mean value.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy, syy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		syy += p.Value * p.Value
	}
	dx := n*sxx - sx*sx
	if dx == 0 {
		return Line{Intercept: sy / n}
	}
	slope := (n*sxy - sx*sy) / dx
	line := Line{Intercept: (sy - slope*sx) / n, Slope: slope, R2: 1}
	if dy := n*syy - sy*sy; dy > 0 {
		line.R2 = (n*sxy - sx*sy) * (n*sxy - sx*sy) / (dx * dy)
	}
	return line
}

// At returns the value of the line at the given size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// cpuSeconds returns the user and system time of this process in seconds.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(u.Utime) + seconds(u.Stime)
}
