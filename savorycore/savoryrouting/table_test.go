package savoryrouting

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func route(name, host, prefix string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, Kind: Idempotent, Timeout: time.Second,
		Shares: []Share{{Service: "s", Weight: 1}},
	}
}

// Each line of testdata/match.txt adds a route or states the route that matches a
// request. A shorter prefix that takes precedence over a longer one fails here.
func TestMatch(t *testing.T) {
	is := is.New(t)
	f, err := os.Open("testdata/match.txt")
	is.NoErr(err)
	defer f.Close()
	c := &Config{Version: 1, Services: []Service{{Name: "s"}}}
	var table *Table
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		switch words[0] {
		case "route":
			c.Routes = append(c.Routes, route(words[1], words[2], words[3]))
			is.NoErr(c.Check())
			table = NewTable(c)
		case "match":
			got := "none"
			if r := table.Match(words[1], words[2]); r != nil {
				got = r.Name
			}
			if got != words[3] {
				t.Errorf("match.txt:%d: %s %s: got %s, want %s", n, words[1], words[2], got, words[3])
			}
		}
	}
	is.NoErr(lines.Err())
}

// Requests are divided by the weights of the shares, and a request ID always selects
// the same service.
func TestSplit(t *testing.T) {
	is := is.New(t)
	r := route("r", "h", "/")
	r.Shares = []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}
	table := NewTable(&Config{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Routes: []Route{r}})
	counts := make(map[string]int)
	for i := range 10000 {
		id := fmt.Sprintf("%016x", i*7919)
		s := table.Service(&table.Config.Routes[0], id)
		counts[s.Name]++
		is.Equal(table.Service(&table.Config.Routes[0], id), s)
	}
	is.True(counts["b"] > 850 && counts["b"] < 1150)
	is.Equal(counts["c"], 0)
}

// A key selects its customer, an unknown or empty key selects none, and only open
// routes need no key.
func TestKeys(t *testing.T) {
	is := is.New(t)
	open := route("open", "h", "/open/")
	open.Open = true
	c := &Config{
		Version: 1, Services: []Service{{Name: "s"}}, Routes: []Route{open, route("shut", "h", "/")},
		Customers: []Customer{{Name: "c1", KeySHA256: []string{KeyDigest("k1"), KeyDigest("k2")}}},
	}
	table := NewTable(c)
	is.Equal(table.NeedsKey(&c.Routes[0]), false)
	is.Equal(table.NeedsKey(&c.Routes[1]), true)
	is.Equal(table.Customer("k2").Name, "c1")
	is.Equal(table.Customer("k3"), nil)
	is.Equal(table.Customer(""), nil)
}

// Each invalid configuration is rejected with the path of its invalid field.
func TestCheck(t *testing.T) {
	is := is.New(t)
	faults := []struct {
		change func(*Config)
		field  string
	}{
		{func(c *Config) { c.Version = 0 }, "Version"},
		{func(c *Config) { c.Services[0].Name = "" }, "Services[0].Name"},
		{func(c *Config) { c.Routes[0].Prefix = "/x" }, "Routes[0].Prefix"},
		{func(c *Config) { c.Routes[0].Kind = "Odd" }, "Routes[0].Kind"},
		{func(c *Config) { c.Routes[0].Timeout = 0 }, "Routes[0].Timeout"},
		{func(c *Config) { c.Routes[0].Shares[0].Service = "gone" }, "Routes[0].Shares"},
		{func(c *Config) { c.Routes[0].Shares[0].Weight = 0 }, "Routes[0].Shares"},
		{func(c *Config) { c.Customers = []Customer{{}} }, "Customers[0].Name"},
	}
	for _, f := range faults {
		c := &Config{Version: 1, Services: []Service{{Name: "s"}}, Routes: []Route{route("r", "h", "/x/")}}
		is.NoErr(c.Check())
		f.change(c)
		var fault *FieldError
		is.True(errors.As(c.Check(), &fault))
		is.Equal(fault.Field, f.field)
	}
}

// Only idempotent requests and resumable streams may run again.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).Repeatable())
	is.True(!(&Route{Kind: NonIdempotent}).Repeatable())
	is.True(!(&Route{Kind: Streaming}).Repeatable())
	is.True((&Route{Kind: Streaming, Resumable: true}).Repeatable())
}

// Guards against less urgent requests that leave no room for more urgent ones, and against a
// service whose routes are equally urgent that is treated as if they were not.
func TestMostUrgent(t *testing.T) {
	is := is.New(t)
	table := NewTable(&Config{Routes: []Route{
		{Name: "b", Priority: 2, Shares: []Share{{Service: "s"}, {Service: "other"}}},
		{Name: "a", Priority: 1, Shares: []Share{{Service: "s"}}},
		{Name: "c", Priority: 2, Shares: []Share{{Service: "s"}}},
	}})
	for service, want := range map[string]struct {
		first  string
		ranked bool
	}{"s": {"a", true}, "other": {"b", false}} {
		first, ranked := table.MostUrgent(service)
		is.Equal(first.Name, want.first)
		is.Equal(ranked, want.ranked)
	}
	first, ranked := table.MostUrgent("none")
	is.True(first == nil && !ranked)
}
