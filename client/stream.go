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

// Stream asks for a streamed answer and calls onText for each piece of it.
// The last response, with usage and receipt, is returned once the answer has
// been checked. A stream that breaks after its first piece is not repeated;
// the error then wraps ErrIncomplete.
func (c *Client) Stream(ctx context.Context, meta Request, body api.ChatRequest, onText func(string) error) (api.ChatResponse, error) {
	if err := meta.complete(); err != nil {
		return api.ChatResponse{}, err
	}
	body.Stream = true
	var last api.ChatResponse
	var broken error
	err := c.repeat(ctx, meta, "/v1/chat/completions", body, func(resp *http.Response) error {
		started := false
		var err error
		last, err = readStream(resp, meta.ID, func(text string) error {
			started = true
			return onText(text)
		})
		if err != nil && started {
			broken = err
			return nil // the caller has seen a part, so a repeat would double it
		}
		return err
	})
	if err == nil {
		err = broken
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
	return api.ChatResponse{}, errors.Wrapf(ErrIncomplete, "stream ended: %v", lines.Err())
}
