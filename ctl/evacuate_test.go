package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/resource"
)

// configuration is a stand-in for the configuration of an entry host.
type configuration struct {
	revision  int64
	resources map[resource.Key]resource.Resource
}

func (c *configuration) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/admin/v1/resources" {
		list := admin.ListResponse{Revision: c.revision}
		for key, res := range c.resources {
			if string(key.Kind) == r.URL.Query().Get("kind") {
				list.Resources = append(list.Resources, res)
			}
		}
		_ = json.NewEncoder(w).Encode(list)
		return
	}
	var req admin.ApplyRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.ExpectRevision != c.revision {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	for _, res := range req.Set {
		c.resources[res.Key()] = res
	}
	for _, key := range req.Delete {
		delete(c.resources, key)
	}
	c.revision++
	_ = json.NewEncoder(w).Encode(admin.ApplyResponse{Revision: c.revision})
}

// TestEvacuateAndReadmit guards against an order that names another domain or cannot be
// repeated, and against a domain that stays evacuated after leverctl readmit, because its
// evacuation was written under another name.
func TestEvacuateAndReadmit(t *testing.T) {
	config := &configuration{revision: 1, resources: make(map[resource.Key]resource.Resource)}
	server := httptest.NewServer(config)
	defer server.Close()
	other := resource.Resource{Kind: resource.KindEvacuation, Name: "by-hand", Spec: &resource.Evacuation{FailureDomain: "Hall 3/b"}}
	config.resources[other.Key()] = other
	for _, step := range []struct {
		args []string
		fail bool
		want map[string]int // number of evacuations by domain
	}{
		{args: []string{"evacuate", "Hall 3/b"}, want: map[string]int{"Hall 3/b": 2}},
		{args: []string{"evacuate", "Hall 3/b"}, want: map[string]int{"Hall 3/b": 2}},
		{args: []string{"evacuate", "c"}, want: map[string]int{"Hall 3/b": 2, "c": 1}},
		{args: []string{"readmit", "Hall 3/b"}, want: map[string]int{"c": 1}},
		{args: []string{"readmit", "Hall 3/b"}, fail: true, want: map[string]int{"c": 1}},
	} {
		err := Run(context.Background(), append([]string{"-addr", server.URL, "-key", "k"}, step.args...), &bytes.Buffer{})
		if (err != nil) != step.fail {
			t.Errorf("leverctl %v: error %v, want one: %v", step.args, err, step.fail)
		}
		got := make(map[string]int)
		for _, res := range config.resources {
			got[res.Spec.(*resource.Evacuation).FailureDomain]++
		}
		if len(got) != len(step.want) || got["Hall 3/b"] != step.want["Hall 3/b"] || got["c"] != step.want["c"] {
			t.Errorf("leverctl %v: evacuations by domain %v, want %v", step.args, got, step.want)
		}
	}
}
