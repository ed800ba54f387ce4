package pathbench_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

// chatPath is the path of requests for generated answers.
const chatPath = "/v1/chat/completions"

// callTimeout bounds one request.
const callTimeout = 20 * time.Second

// prompt has the usual length of a short request.
var prompt = []api.Message{{Role: "user", Content: "State the condition of the rim and list the repairs it needs before it can be sold again."}}

// caller sends equivalent requests to hosts and directly to engines.
type caller struct {
	http *http.Client
	// Encoded request bodies: plain, stream and short go to hosts, direct to
	// engines. short requests one token.
	plain, stream, direct, short []byte
}

func newCaller(conns int) *caller {
	encode := func(v any) []byte {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err) // the requests are constant
		}
		return data
	}
	return &caller{
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns}},
		plain:  encode(api.ChatRequest{Model: model, Messages: prompt}),
		stream: encode(api.ChatRequest{Model: model, Messages: prompt, Stream: true}),
		short:  encode(api.ChatRequest{Model: model, Messages: prompt, MaxTokens: 1}),
		direct: encode(engine.GenerateRequest{Attempt: "direct", Version: version, Messages: prompt}),
	}
}

// chat sends one request to a host and reads the complete answer.
func (c *caller) chat(ctx context.Context, entry string, stream bool) error {
	body := c.plain
	if stream {
		body = c.stream
	}
	return c.post(ctx, "http://"+entry+chatPath, body, []byte(`"receipt"`))
}

// ready returns nil if the host answers a short request.
func (c *caller) ready(ctx context.Context, entry string) error {
	return c.post(ctx, "http://"+entry+chatPath, c.short, []byte(`"receipt"`))
}

// generate sends one request to an engine and reads the complete answer.
func (c *caller) generate(ctx context.Context, addr string) error {
	return c.post(ctx, "http://"+addr+"/v1/generate", c.direct, []byte(`"final"`))
}

// post returns an error unless the status is 200 and the answer contains endMark,
// which only a complete answer has.
func (c *caller) post(ctx context.Context, url string, body, endMark []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !bytes.Contains(data, endMark) {
		return fmt.Errorf("status %d: %.200s", resp.StatusCode, data)
	}
	return nil
}
