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

// TestEvacuateAndReadmit guards against an order that names no valid resource or another domain,
// and against a domain that stays evacuated after leverctl readmit, because its evacuation was
// written under another name.
func TestEvacuateAndReadmit(t *testing.T) {
	const domain = "Hall 3/b"
	evacuation := func(name, domain string) resource.Resource {
		return resource.Resource{Kind: resource.KindEvacuation, Name: name, Spec: &resource.Evacuation{FailureDomain: domain}}
	}
	list := admin.ListResponse{Revision: 7, Resources: []resource.Resource{evacuation("by-hand", domain), evacuation("other", "c")}}
	var sent admin.ApplyRequest
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(list)
			return
		}
		sent = admin.ApplyRequest{}
		_ = json.NewDecoder(r.Body).Decode(&sent)
		_ = json.NewEncoder(w).Encode(admin.ApplyResponse{Revision: 8})
	}))
	defer server.Close()
	run := func(command, domain string) error {
		return Run(context.Background(), []string{"-addr", server.URL, "-key", "k", command, domain}, &bytes.Buffer{})
	}
	if err := run("evacuate", domain); err != nil || len(sent.Set) != 1 || sent.Set[0].Spec.(*resource.Evacuation).FailureDomain != domain {
		t.Errorf("evacuate: error %v, sent %+v", err, sent)
	} else if _, err := resource.NewSnapshot(1, sent.Set); err != nil {
		t.Error(err)
	}
	if err := run("readmit", domain); err != nil || sent.ExpectRevision != 7 || len(sent.Delete) != 1 || sent.Delete[0].Name != "by-hand" {
		t.Errorf("readmit: error %v, sent %+v, want the removal of by-hand", err, sent)
	}
	if err := run("readmit", "d"); err == nil {
		t.Error("readmit of a domain that is not evacuated: no error")
	}
}
