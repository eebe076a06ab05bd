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
	"time"

	"savorycart.example/savorycore/savoryworld"
)

const (
	// Path is where the platform serves the list.
	Path = "/vms"
	// maxListBytes bounds the list.
	maxListBytes = 8 << 20
	// roleEntry is the role label of VMs that run an entry.
	roleEntry = "entry"
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
		if vm.Entry {
			labels.Role = roleEntry
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
				Entry:   g.Labels.Role == roleEntry,
			})
		}
	}
	return vms, nil
}

// Client reads the list. Its exported fields are set before its first use.
type Client struct {
	// Address is the platform.
	Address netip.AddrPort
	// Timeout bounds one read.
	Timeout time.Duration

	client http.Client
}

// Read returns the VMs that the platform lists now.
func (c *Client) Read(ctx context.Context) ([]savoryworld.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+Path, nil)
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.client.CloseIdleConnections()
		return nil, fmt.Errorf("VM list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("VM list: status %d", resp.StatusCode)
	}
	var groups []Group
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&groups); err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	return VMs(groups)
}
