// Package savoryvmlist reads the platform's list of VMs, which is in the HTTP
// service discovery format of Prometheus: groups of targets with labels.
package savoryvmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

const (
	// Path is where the platform serves the list.
	Path = "/vms"
	// maxListBytes bounds the list.
	maxListBytes = 8 << 20
	// RoleEntry is the role label of VMs that run an entry.
	RoleEntry = "entry"
	// RoleWorker is the role label of VMs that run a backend server.
	RoleWorker = "worker"
)

// Group is one group of targets.
type Group struct {
	Targets []string `json:"targets"`
	Labels  Labels   `json:"labels"`
}

// Labels are the labels of a group.
type Labels struct {
	Zone   string `json:"zone"`
	Region string `json:"region"`
	State  string `json:"state"`
	Role   string `json:"role,omitempty"`
}

// Groups returns the list as groups of one target each.
func Groups(vms []savoryworld.VM) []Group {
	groups := make([]Group, 0, len(vms))
	for _, vm := range vms {
		labels := Labels{Zone: vm.Zone, Region: vm.Region, State: string(vm.State)}
		labels.Role = RoleWorker
		if vm.Entry {
			labels.Role = RoleEntry
		}
		groups = append(groups, Group{Targets: []string{vm.Address.String()}, Labels: labels})
	}
	return groups
}

// VMs returns the VMs of groups. An address or a state that is not known is an
// error.
func VMs(groups []Group) ([]savoryworld.VM, error) {
	var vms []savoryworld.VM
	for _, g := range groups {
		state := savoryworld.VMState(g.Labels.State)
		if state != savoryworld.VMLive && state != savoryworld.VMLeaving {
			return nil, fmt.Errorf("VM list: state %q is not live or leaving", g.Labels.State)
		}
		for _, target := range g.Targets {
			address, err := netip.ParseAddrPort(target)
			if err != nil {
				return nil, fmt.Errorf("VM list: %w", err)
			}
			vms = append(vms, savoryworld.VM{
				Address: address,
				Zone:    g.Labels.Zone,
				Region:  g.Labels.Region,
				State:   state,
				Entry:   g.Labels.Role == RoleEntry,
			})
		}
	}
	return vms, nil
}

// Client reads the list, or the part of it that its filter names. A list that
// has not changed is not sent again. Its exported fields are set before its
// first use; it is used by one goroutine at a time.
type Client struct {
	// Address is the platform.
	Address netip.AddrPort
	// Timeout bounds one read.
	Timeout time.Duration
	// Filter is sent as the query.
	Filter Filter

	client http.Client
	etag    string
	lastVMs   []savoryworld.VM
}

// Filter names a part of the list. A platform that ignores it sends the whole
// list, and the client leaves out the rest.
type Filter struct {
	// Role is RoleEntry or RoleWorker, or "" for all.
	Role string
	// Zone is an availability zone, or "" for all.
	Zone string
}

// Matches reports whether the filter keeps a VM.
func (f Filter) Matches(vm savoryworld.VM) bool {
	if f.Zone != "" && vm.Zone != f.Zone {
		return false
	}
	return f.Role == "" || (f.Role == RoleEntry) == vm.Entry
}

// Query returns the filter as a query.
func (f Filter) Query() string {
	values := url.Values{}
	if f.Role != "" {
		values.Set("role", f.Role)
	}
	if f.Zone != "" {
		values.Set("zone", f.Zone)
	}
	return values.Encode()
}

// ParseFilter reads a filter from a query.
func ParseFilter(values url.Values) Filter {
	return Filter{Role: values.Get("role"), Zone: values.Get("zone")}
}

// Read returns the VMs that the platform lists now.
func (c *Client) Read(ctx context.Context) ([]savoryworld.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+Path+"?"+c.Filter.Query(), nil)
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.client.CloseIdleConnections()
		return nil, fmt.Errorf("VM list: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return c.readList(resp)
	case http.StatusNotModified:
		return c.lastVMs, nil
	default:
		return nil, fmt.Errorf("VM list: status %d", resp.StatusCode)
	}
}

// readList reads a list that has changed.
func (c *Client) readList(resp *http.Response) ([]savoryworld.VM, error) {
	var groups []Group
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&groups); err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	vms, err := VMs(groups)
	if err != nil {
		return nil, err
	}
	kept := make([]savoryworld.VM, 0, len(vms))
	for _, vm := range vms {
		if c.Filter.Matches(vm) {
			kept = append(kept, vm)
		}
	}
	c.etag, c.lastVMs = resp.Header.Get("ETag"), kept
	return kept, nil
}
