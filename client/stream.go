package client

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Stream requests a streamed answer and calls onText for each piece of it. It
// returns the last event, with usage and receipt, once the answer has been
// verified. A stream that fails after its first piece is not retried;
// the error wraps ErrIncomplete if the stream ended early.
func (c *Client) Stream(ctx context.Context, meta Request, body api.ChatRequest, onText func(string) error) (api.ChatResponse, error) {
	if err := meta.ensureID(); err != nil {
		return api.ChatResponse{}, err
	}
	body.Stream = true
	var last api.ChatResponse
	var streamErr error
	err := c.retry(ctx, meta, "/v1/chat/completions", body, func(resp *http.Response) error {
		started := false
		var err error
		last, err = readStream(resp, meta.ID, func(text string) error {
			started = true
			return onText(text)
		})
		if err != nil && started {
			streamErr = err
			return nil // the caller has received a part, which a retry would duplicate
		}
		return err
	})
	if err == nil {
		err = streamErr
	}
	return last, err
}

func readStream(resp *http.Response, id string, onText func(string) error) (api.ChatResponse, error) {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	digest := api.NewDigest(id)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var ev struct {
			api.ChatResponse
			Error *api.Error `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			return api.ChatResponse{}, errors.Wrapf(ErrIncomplete, "malformed event: %v", err)
		}
		if ev.Error != nil {
			return api.ChatResponse{}, ev.Error
		}
		if ev.ID != id {
			return api.ChatResponse{}, errors.Wrapf(ErrWrongRequest, "id %q instead of %q", ev.ID, id)
		}
		if ev.Receipt != nil {
			if ev.Receipt.Digest != digest.Sum() {
				return api.ChatResponse{}, errors.Wrap(ErrIncomplete, "digest differs")
			}
			return ev.ChatResponse, nil
		}
		if len(ev.Choices) == 1 && ev.Choices[0].Delta != nil {
			digest.Add(ev.Choices[0].Delta.Content)
			if err := onText(ev.Choices[0].Delta.Content); err != nil {
				return api.ChatResponse{}, err
			}
		}
	}
	return api.ChatResponse{}, errors.Wrapf(ErrIncomplete, "stream ended without a receipt: %v", lines.Err())
}
