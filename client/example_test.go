package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
)

func Example() {
	// A fake entry host that answers every request with "yes".
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(api.HeaderIdempotencyKey)
		digest := api.NewDigest(id)
		digest.Add("yes")
		_ = json.NewEncoder(w).Encode(api.ChatResponse{
			ID: id, Choices: []api.Choice{{Message: &api.Message{Content: "yes"}}},
			Receipt: &api.Receipt{RequestID: id, Version: "small-1", Digest: digest.Sum()},
		})
	}))
	defer host.Close()
	c := client.New(client.Options{Seeds: []string{host.Listener.Addr().String()}, Key: "team-key", SeedsOnly: true})
	answer, err := c.Chat(context.Background(), client.Request{}, api.ChatRequest{
		Model: "small", Messages: []api.Message{{Role: "user", Content: "Is the rim round?"}},
	})
	fmt.Println(answer.Choices[0].Message.Content, answer.Receipt.Version, err)
	// Output: yes small-1 <nil>
}
