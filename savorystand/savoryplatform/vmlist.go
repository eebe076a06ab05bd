package savoryplatform

// This file defines the list of VMs, which shows changes after a delay.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savoryvmlist"
	"savorycart.example/savorycore/savoryworld"
)

// SetVM adds a VM to the list or replaces its state.
func (p *Platform) SetVM(vm savoryworld.VM) {
	p.addChange(listChange{vm: vm})
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(address netip.AddrPort) {
	p.addChange(listChange{vm: savoryworld.VM{Address: address}, removed: true})
}

func (p *Platform) addChange(change listChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change.shownAt = p.now().Add(p.ListLag)
	p.listChanges = append(p.listChanges, change)
}

// listed returns the VMs that the list shows now.
func (p *Platform) listed() []savoryworld.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var vms []savoryworld.VM
	index := make(map[netip.AddrPort]int)
	for _, change := range p.listChanges {
		if change.shownAt.After(now) {
			continue
		}
		i, known := index[change.vm.Address]
		switch {
		case change.removed && known:
			vms[i].State = ""
		case known:
			vms[i] = change.vm
		case !change.removed:
			index[change.vm.Address] = len(vms)
			vms = append(vms, change.vm)
		}
	}
	var shown []savoryworld.VM
	for _, vm := range vms {
		if vm.State != "" {
			shown = append(shown, vm)
		}
	}
	return shown
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	unavailable := p.faults.Unavailable
	p.mu.Unlock()
	if unavailable {
		http.Error(w, "service unavailable: injected fault", http.StatusServiceUnavailable)
		return
	}
	filter := savoryvmlist.ParseFilter(r.URL.Query())
	vms := slices.DeleteFunc(p.listed(), func(vm savoryworld.VM) bool { return !filter.Matches(vm) })
	body, err := json.Marshal(savoryvmlist.Groups(vms))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
