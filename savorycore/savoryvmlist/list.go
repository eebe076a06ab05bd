// Package savoryvmlist reads and writes the platform's list of VMs in the HTTP
// service discovery format of Prometheus: groups of targets with labels. A
// Client reads the list from the platform.
package savoryvmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

const (
	// Path is the URL path of the list.
	Path = "/vms"
	// maxListBytes is the maximum size of the list.
	maxListBytes = 8 << 20
	// RoleEntry is the role label of VMs that run an entry.
	RoleEntry = "entry"
	// RoleWorker is the role label of VMs that run a backend server.
	RoleWorker = "worker"
)

// Group is a set of targets with the same labels.
type Group struct {
	// Targets are addresses with ports.
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

// Groups returns the VMs as groups with one target each.
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

// VMs returns the VMs of groups. The error joins one for each group with an unknown state
// and each target that is not an address with a port; the other VMs are returned.
func VMs(groups []Group) ([]savoryworld.VM, error) {
	var vms []savoryworld.VM
	var invalid []error
	for _, g := range groups {
		state := savoryworld.VMState(g.Labels.State)
		if state != savoryworld.VMLive && state != savoryworld.VMLeaving {
			invalid = append(invalid, fmt.Errorf("VM list: unknown state %q, expected live or leaving", g.Labels.State))
			continue
		}
		for _, target := range g.Targets {
			address, err := netip.ParseAddrPort(target)
			if err == nil && address.Port() == 0 {
				err = fmt.Errorf("%q has no port", target)
			}
			if err != nil {
				invalid = append(invalid, fmt.Errorf("VM list: %w", err))
				continue
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
	return vms, errors.Join(invalid...)
}

// Client reads the VMs that match its filter from the platform. It sends the
// ETag of the last list, so an unchanged list is not transferred again. Its
// exported fields are set before its first use; it is not safe for concurrent
// use.
type Client struct {
	// Address is the address of the platform.
	Address netip.AddrPort
	// Timeout is the timeout of one read.
	Timeout time.Duration
	// Filter selects the VMs to read; it is sent as the URL query.
	Filter Filter
	// OnInvalid, if set, is called with the errors of the elements of a changed list that are
	// left out since they cannot be read.
	OnInvalid func(error)

	client http.Client
	// etag is the ETag of lastVMs; empty before the first read or if the platform
	// sends none.
	etag    string
	lastVMs []savoryworld.VM
}

// Filter selects VMs from the list. If the platform ignores it and sends the
// whole list, the client drops the other VMs.
type Filter struct {
	// Role is RoleEntry or RoleWorker, or empty for all roles.
	Role string
	// Zone is an availability zone, or empty for all zones.
	Zone string
}

// Matches reports whether the filter selects the VM.
func (f Filter) Matches(vm savoryworld.VM) bool {
	if f.Zone != "" && vm.Zone != f.Zone {
		return false
	}
	return f.Role == "" || (f.Role == RoleEntry) == vm.Entry
}

// Query returns the filter encoded as a URL query.
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

// ParseFilter returns the filter in a URL query.
func ParseFilter(values url.Values) Filter {
	return Filter{Role: values.Get("role"), Zone: values.Get("zone")}
}

// Read returns the VMs on the platform's list that match the filter. The caller
// must not modify the slice: it is returned again while the list is unchanged.
func (c *Client) Read(ctx context.Context) ([]savoryworld.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+Path+"?"+c.Filter.Query(), nil)
	if err != nil {
		return nil, fmt.Errorf("reading VM list: %w", err)
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.client.CloseIdleConnections()
		return nil, fmt.Errorf("reading VM list: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return c.readList(resp)
	case http.StatusNotModified:
		return c.lastVMs, nil
	default:
		return nil, fmt.Errorf("reading VM list: unexpected HTTP status %d", resp.StatusCode)
	}
}

// readList decodes a changed list and keeps the VMs that match the filter.
func (c *Client) readList(resp *http.Response) ([]savoryworld.VM, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err == nil && len(body) > maxListBytes {
		err = fmt.Errorf("the list exceeds %d bytes", maxListBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("reading VM list: %w", err)
	}
	groups, err := decodeGroups(body)
	if groups == nil && err != nil {
		return nil, err
	}
	vms, invalid := VMs(groups)
	if err = errors.Join(err, invalid); err != nil && c.OnInvalid != nil {
		c.OnInvalid(err)
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

// decodeGroups decodes a list. It returns nil if body is not a JSON array; otherwise the
// error joins one for each element that is left out.
func decodeGroups(body []byte) ([]Group, error) {
	elements, err := splitArray(body)
	if err != nil {
		return nil, fmt.Errorf("decoding VM list: %w", err)
	}
	groups := make([]Group, 0, len(elements))
	var invalid []error
	for i, e := range elements {
		var g Group
		if err := json.Unmarshal(e, &g); err != nil {
			invalid = append(invalid, fmt.Errorf("decoding VM list: element %d: %w", i, err))
			continue
		}
		groups = append(groups, g)
	}
	return groups, errors.Join(invalid...)
}

// splitArray returns the elements of a JSON array without decoding them. Package json would
// refuse the whole array if one of them is nested too deeply.
func splitArray(body []byte) ([][]byte, error) {
	body = bytes.TrimSpace(body)
	if len(body) < 2 || body[0] != '[' || body[len(body)-1] != ']' {
		return nil, errors.New("is not a JSON array")
	}
	body = body[1 : len(body)-1]
	var elements [][]byte
	var n nesting
	begin := 0
	for i, c := range body {
		n.add(c)
		if n.depth < 0 {
			return nil, errors.New("brackets do not match")
		}
		if c == ',' && n.depth == 0 && !n.inString {
			elements = append(elements, body[begin:i])
			begin = i + 1
		}
	}
	if n.depth != 0 || n.inString {
		return nil, errors.New("brackets or quotes are not closed")
	}
	if last := bytes.TrimSpace(body[begin:]); len(last) > 0 || len(elements) > 0 {
		elements = append(elements, last)
	}
	return elements, nil
}

// nesting is the state of a JSON text up to a byte: the number of open brackets, and whether
// a string is open.
type nesting struct {
	depth    int
	inString bool
	escaped  bool
}

func (n *nesting) add(c byte) {
	if n.inString {
		n.inString = n.escaped || c != '"'
		n.escaped = !n.escaped && c == '\\'
		return
	}
	switch c {
	case '"':
		n.inString = true
	case '[', '{':
		n.depth++
	case ']', '}':
		n.depth--
	}
}
