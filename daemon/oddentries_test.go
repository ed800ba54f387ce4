package daemon_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/resource"
)

// oddValues are values that another writer may leave in the store.
var oddValues = map[string]string{
	"deep":     strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000),
	"deeper":   strings.Repeat("[", 60_000) + strings.Repeat("]", 60_000),
	"number":   `{"revision":1e999,"time":123456789012345678901234567890,"version":-1,"id":9007199254740993}`,
	"port":     `{"address":"127.0.0.1:65536","peer":"127.0.0.1:-1","entry":"127.0.0.1:0"}`,
	"list":     `[1,"a",null,{}]`,
	"null":     "null",
	"bytes":    "\xff\x00\xfe",
	"no value": "",
}

// TestOddStoreEntriesStopNoHost guards against hosts that end, or no longer follow the
// store, because another writer has left an odd entry among theirs.
func TestOddStoreEntriesStopNoHost(t *testing.T) {
	var log logBuffer
	c := newClusterOf(t, decisionHosts, &log, func(*config.Settings) {})
	for i := range c.Hosts { // fills the store with entries of all kinds
		if _, err := c.sendVia(i, client.Request{}, prompt("before")); err != nil {
			t.Fatal(err)
		}
		if _, err := c.client(i, 1).Call(c.ctx, client.Request{}, "booking", "book", map[string]any{"n": i}); err != nil {
			t.Fatal(err)
		}
	}
	entries, _, err := c.Store.List(c.ctx, "")
	if err != nil {
		t.Fatal(err)
	}
	folders := make(map[string]bool)
	for _, e := range entries {
		for folder := e.Key; strings.Contains(folder, "/"); {
			folder = folder[:strings.LastIndex(folder, "/")]
			folders[folder] = true
		}
	}
	for folder := range folders {
		for name, value := range oddValues {
			c.Store.Put(folder+"/"+strings.ReplaceAll(name, " ", "-"), []byte(value))
		}
	}
	t.Logf("odd entries in %d folders", len(folders))
	time.Sleep(2 * time.Second)
	r := c.resource(resource.KindTerms, "terms")
	c.apply(r)
	c.waitInForce(inForce)
	for i := range c.Hosts {
		if _, err := c.sendVia(i, client.Request{}, prompt(fmt.Sprint("after ", i))); err != nil {
			t.Errorf("host %d: %v", i, err)
		}
		if _, err := c.client(i, 1).Call(c.ctx, client.Request{}, "booking", "book", map[string]any{"n": 10 + i}); err != nil {
			t.Errorf("host %d: %v", i, err)
		}
	}
	if ended := log.lines("background loop ended"); len(ended) > 0 {
		t.Errorf("loops ended: %v", ended)
	}
}
