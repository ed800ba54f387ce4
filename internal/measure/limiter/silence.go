package limiter

import (
	"math/rand/v2"
	"time"

	limits "github.com/corianderlever/corianderlever/limiter"
)

const (
	silenceAnswers = 1200
	silenceTick    = 10 * time.Millisecond
	// slowestGap is the longest time between two tokens of a slow answer.
	slowestGap = 20 * time.Second
	// probeLoss is the share of probes that are lost.
	probeLoss = 0.01
)

type silenceResult struct {
	detection pair // longest detection time, s, from the last byte (baseline) or the fault (value)
	cut       pair // number of slow answers cut off
}

// silence simulates answers of which half lose their connection at a random
// time while the engine keeps running, is stuck or has died. The other half are
// slow. The baseline is a plain timeout: slowestGap for the detection time, and
// 3 s for the answers cut off.
func silence(seed uint64) silenceResult {
	random := rand.New(rand.NewPCG(seed, 2))
	result := silenceResult{detection: pair{baseline: slowestGap.Seconds()}}
	for i := range silenceAnswers {
		gap := 50*time.Millisecond + time.Duration(random.Float64()*float64(slowestGap))
		if i%2 == 0 {
			if slowAnswer(random, gap) {
				result.cut.value++
			}
			if gap > limits.SilenceTimeout {
				result.cut.baseline++
			}
			continue
		}
		result.detection.value = max(result.detection.value, silentAnswer(random, i/2%3).Seconds())
	}
	return result
}

// slowAnswer reports whether an answer of three tokens with a gap before each
// is cut off.
func slowAnswer(random *rand.Rand, gap time.Duration) bool {
	now := time.Unix(0, 0)
	w := limits.NewSilenceDetector(now)
	var progress, sent uint64
	for since := time.Duration(0); sent < 3; since += silenceTick {
		now = now.Add(silenceTick)
		progress++
		if since >= gap {
			since = 0
			sent++
			w.RecordReceived(now, 1)
		}
		probe := limits.ProbeResult{Running: true, Progress: progress, Sent: sent}
		if pollDetector(random, w, now, probe) == limits.SilenceGiveUp {
			return true
		}
	}
	return false
}

// silentAnswer returns the time from the fault to the detection of a connection
// that goes silent during an answer of 10 tokens per second.
func silentAnswer(random *rand.Rand, engineState int) time.Duration {
	const running, stuck, died = 0, 1, 2
	now := time.Unix(0, 0)
	w := limits.NewSilenceDetector(now)
	fault := now.Add(time.Duration(random.IntN(10_000)) * time.Millisecond)
	var sent uint64
	for step := 1; ; step++ {
		now = now.Add(silenceTick)
		silent := now.After(fault)
		if step%10 == 0 && (!silent || engineState == running) {
			sent++
			if !silent {
				w.RecordReceived(now, 1)
			}
		}
		probe := limits.ProbeResult{Running: !silent || engineState != died, Progress: sent, Sent: sent}
		if pollDetector(random, w, now, probe) == limits.SilenceGiveUp {
			return now.Sub(fault)
		}
	}
}

func pollDetector(random *rand.Rand, w *limits.SilenceDetector, now time.Time, probe limits.ProbeResult) limits.SilenceAction {
	action := w.Poll(now)
	if action == limits.SilenceProbe && random.Float64() >= probeLoss {
		return w.HandleProbeResult(now, probe)
	}
	return action
}
