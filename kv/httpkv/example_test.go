package httpkv_test

import (
	"context"
	"fmt"
	"net/http/httptest"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv/httpkv"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

func Example() {
	srv := httptest.NewServer(httpkv.NewHandler(memkv.New(clockwork.NewRealClock())))
	defer srv.Close()
	client := httpkv.NewClient(srv.URL, nil)
	rev, err := client.CompareAndSwap(context.Background(), "config/current", 0, []byte("v1"), 0)
	fmt.Println(rev, err)
	// Output: 1 <nil>
}
