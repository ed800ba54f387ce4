package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"iter"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/route"
	"github.com/corianderlever/corianderlever/upstream"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// errEvent marks an event stream that is malformed, truncated or has gaps.
var errEvent = errors.New("relay: malformed event stream")

// isStream reports whether the route answers with an event stream.
func (j *job) isStream() bool { return j.route.Kind == route.Stream }

// forwardStream forwards events as they arrive. The header is sent with the first
// event, so that another endpoint can serve the request until then.
func (j *job) forwardStream(ctx context.Context, sl *slot, answer *upstream.Response, reply Reply) *ErrorResponse {
	j.confidence = reply.Confidence
	if j.escalate(sl) {
		return nil
	}
	events := newEventReader(answer, j.relay.Buffers)
	defer events.close()
	var first, last time.Time
	var pace eventPace
	defer func() { j.observePace(sl, first, last, &pace) }()
	for n := 0; ; n++ {
		ev, err := j.nextEvent(events, answer, n)
		if errors.Is(err, errStreamEnd) {
			if n > 1 {
				sl.recordEventGap(last.Sub(first) / time.Duration(n-1))
			}
			return j.finishStream(sl, answer)
		}
		if err != nil {
			return j.handleBrokenStream(ctx, sl, n, err)
		}
		now := j.relay.Clock.Now()
		j.pool.paths.received(sl.endpoint.ID)
		if n > 0 {
			j.longestEventGap = max(j.longestEventGap, now.Sub(last))
			pace.add(now.Sub(last))
			if j.relay.AdmissionGate {
				j.pool.gaps.observe(sl.endpoint.ID, now.Sub(last), now)
			}
		}
		last = now
		sl.recordEvent(now)
		if n == 0 {
			first = last
			j.addStep("event_ms=" + strconv.FormatInt(j.relay.Clock.Since(sl.started).Milliseconds(), 10))
		}
		if pace.complete() && !sl.observed {
			j.observePace(sl, first, last, &pace)
		}
		if now.Sub(first) >= limiter.ProvenAfter {
			sl.run.Prove()
		}
		if errResp := j.sendEvent(answer, ev); errResp != nil {
			return errResp
		}
	}
}

// errStreamEnd reports the end of a complete stream.
var errStreamEnd = errors.New("relay: end of the stream")

// nextEvent returns the next event that the caller has not received, after n others of
// the same answer. It returns errStreamEnd after the last one.
func (j *job) nextEvent(events *eventReader, answer *upstream.Response, n int) (event, error) {
	for first := n == 0; ; first = false {
		ev, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && first && answer.EndsWithConnection():
			// Nothing tells a stream without events from one that was cut after its header.
			return ev, errors.Wrap(errEvent, "connection closed before the first event")
		case errors.Is(err, io.EOF):
			return ev, errStreamEnd
		case err != nil:
			return ev, err
		case ev.id < 0 && (j.lastEvent >= 0 || j.route.Resumable):
			return ev, errors.Wrap(errEvent, "event without an id in a numbered stream")
		case ev.id < 0, j.lastEvent < 0, ev.id == j.lastEvent+1:
			return ev, nil
		case ev.id > j.lastEvent:
			return ev, errors.Wrapf(errEvent, "event %d follows %d", ev.id, j.lastEvent)
		}
	}
}

// sendEvent sends an event to the caller, and the header of its answer before the first one.
func (j *job) sendEvent(answer *upstream.Response, ev event) *ErrorResponse {
	j.sendHeader(answer)
	if _, err := j.w.Write(ev.data); err != nil {
		return j.giveUp(reasonCallerLeft, err.Error(), 0)
	}
	j.flush()
	if ev.id >= 0 {
		j.lastEvent = ev.id
	}
	return nil
}

// sendHeader sends the header of an answer to the caller unless one has been sent
// already.
func (j *job) sendHeader(answer *upstream.Response) {
	if j.headerSent {
		return
	}
	j.headerSent = true
	j.firstByte = j.relay.Clock.Since(j.arrived)
	copyHeader(j.w.Header(), answer.Header)
	j.markAnswer(outcomeAnswered, "")
	j.w.WriteHeader(answer.Status)
}

func (j *job) flush() {
	// If the connection is closed, the next write returns an error.
	_ = http.NewResponseController(j.w).Flush()
}

// finishStream records the end of a complete stream.
func (j *job) finishStream(sl *slot, answer *upstream.Response) *ErrorResponse {
	j.sendHeader(answer)
	j.status = answer.Status
	j.addStep(sl.endpoint.ID, j.model, "confidence", strconv.Itoa(j.confidence), strconv.Itoa(answer.Status))
	j.count("ok")
	j.recordComplete(sl, answer)
	sl.recordFirstByte()
	sl.release(limiter.OutcomeOK)
	return nil
}

// handleBrokenStream handles a stream that broke after some events. Another
// endpoint resumes it where the route allows that.
func (j *job) handleBrokenStream(ctx context.Context, sl *slot, events int, err error) *ErrorResponse {
	detail := "after " + strconv.Itoa(events) + " events: " + err.Error()
	j.checkEndless(sl, err)
	if ctx.Err() != nil {
		return j.handleBrokenAnswer(ctx, sl, "stream_cut", detail)
	}
	j.investigateLoss(sl, !j.headerSent || j.route.Resumable)
	if j.headerSent && !j.route.Resumable {
		j.addStep(sl.endpoint.ID, j.model, "cut")
		j.count("stream_cut")
		sl.release(limiter.OutcomeError)
		return j.giveUp("stream_cut", detail, 0)
	}
	return j.handleBrokenAnswer(ctx, sl, "stream_cut", detail)
}

// event is one complete event of a stream.
type event struct {
	data []byte
	// id is negative if the event has none.
	id int64
}

// eventReader splits a stream into complete events.
type eventReader struct {
	br *bufio.Reader
	// data is the current event.
	data *limiter.Accumulator
}

// eventBufferBytes is the size of an event that does not count towards the host's budget.
const eventBufferBytes = 2 << 10

func newEventReader(r io.Reader, buffers *limiter.ByteBudget) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, eventBufferBytes), data: buffers.NewAccumulator(maxEventBytes, eventBufferBytes)}
}

// close releases the buffer. The last event must not be used any more.
func (r *eventReader) close() { r.data.Release() }

// next returns the next event, which is valid until the next call. It returns io.EOF
// only if the stream ends between two events; a truncated event is an error.
func (r *eventReader) next() (event, error) {
	ev := event{id: -1}
	r.data.Reset()
	for {
		start := len(r.data.Bytes())
		if err := r.readLine(); err != nil {
			return ev, err
		}
		ev.data = r.data.Bytes()
		text := bytes.TrimRight(ev.data[start:], "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return ev, errors.Wrapf(errEvent, "event id %q", value)
			}
			ev.id = id
		}
	}
}

// readLine adds a whole line to the current event. A line may be longer than the buffer
// of the reader.
func (r *eventReader) readLine() error {
	for {
		part, err := r.br.ReadSlice('\n')
		if tooLarge := r.data.Append(part); tooLarge != nil {
			return errors.Mark(tooLarge, errEvent)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.data.Bytes()) == 0:
			return io.EOF
		case errors.Is(err, io.EOF):
			return errors.Wrap(errEvent, "stream ends in the middle of an event")
		}
		return errors.Wrap(err, "relay: read events")
	}
}

// splitList yields the elements of a comma-separated header value.
func splitList(value string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(value, ",") {
			if part = strings.TrimSpace(part); part != "" && !yield(part) {
				return
			}
		}
	}
}
