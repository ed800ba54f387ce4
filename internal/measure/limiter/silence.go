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
	// probeLoss is the share of probes that fail for other reasons.
	probeLoss = 0.01
)

type silenceResult struct {
	detection pair // s from the last byte, or from the first lost one
	cut       pair
}

// silence runs answers of which half lose their connection at a random time,
// while the engine either goes on, is stuck, or has died. The others are slow.
// The baseline is a plain timeout: one as long as the slowest gap for the
// detection, and one of 3 s for the answers cut.
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

// slowAnswer reports whether an answer with a long gap after each of three
// tokens is cut.
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
		answer := limits.ProbeResult{Running: true, Progress: progress, Sent: sent}
		if poll(random, w, now, answer) == limits.SilenceGiveUp {
			return true
		}
	}
	return false
}

// silentAnswer returns the time to detect a connection that went silent under
// an answer of 10 tokens per second.
func silentAnswer(random *rand.Rand, kind int) time.Duration {
	const running, stuck, died = 0, 1, 2
	now := time.Unix(0, 0)
	w := limits.NewSilenceDetector(now)
	fault := now.Add(time.Duration(random.IntN(10_000)) * time.Millisecond)
	var sent uint64
	for step := 1; ; step++ {
		now = now.Add(silenceTick)
		silent := now.After(fault)
		if step%10 == 0 && (!silent || kind == running) {
			sent++
			if !silent {
				w.RecordReceived(now, 1)
			}
		}
		answer := limits.ProbeResult{Running: !silent || kind != died, Progress: sent, Sent: sent}
		if poll(random, w, now, answer) == limits.SilenceGiveUp {
			return now.Sub(fault)
		}
	}
}

func poll(random *rand.Rand, w *limits.SilenceDetector, now time.Time, answer limits.ProbeResult) limits.SilenceAction {
	action := w.Poll(now)
	if action == limits.SilenceProbe && random.Float64() >= probeLoss {
		return w.HandleProbeResult(now, answer)
	}
	return action
}
