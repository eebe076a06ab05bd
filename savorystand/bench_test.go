package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savorysite"
)

// BenchmarkRequest measures a request with a small and with a large body, from the caller
// through an entry to a service.
func BenchmarkRequest(b *testing.B) {
	site := &savorysite.Site{
		Entries: 1, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard(),
		EditDocument: func(d *savoryconfig.Document) {
			for i := range d.Customers {
				d.Customers[i].Contract = savoryworld.Contract{}
			}
		},
	}
	b.Cleanup(site.Stop)
	is.New(b).NoErr(site.Start())
	caller := &savorysite.Caller{Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards")}
	for _, size := range []int{1 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			is := is.New(b)
			body := strings.Repeat("x", size)
			for b.Loop() {
				response, err := caller.Send(context.Background(), http.MethodPost, "/notes", body, "")
				is.NoErr(err)
				if response.Status != http.StatusOK && response.Status != http.StatusCreated {
					b.Fatalf("status %d", response.Status)
				}
			}
		})
	}
}
