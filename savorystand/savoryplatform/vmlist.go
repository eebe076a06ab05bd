package savoryplatform

// This file defines the lagging list of VMs.

import (
	"net/http"
	"net/netip"

	"savorycart.example/savorycore/savoryvmlist"
	"savorycart.example/savorycore/savoryworld"
)

// SetVM adds a VM to the list or changes its state.
func (p *Platform) SetVM(vm savoryworld.VM) {
	p.listChange(listedVM{vm: vm})
}

// RemoveVM takes a VM off the list.
func (p *Platform) RemoveVM(address netip.AddrPort) {
	p.listChange(listedVM{vm: savoryworld.VM{Address: address}, gone: true})
}

func (p *Platform) listChange(change listedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change.shownAt = p.now().Add(p.ListLag)
	p.vms = append(p.vms, change)
}

// listed returns the VMs as the list shows them now.
func (p *Platform) listed() []savoryworld.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var vms []savoryworld.VM
	index := make(map[netip.AddrPort]int)
	for _, change := range p.vms {
		if change.shownAt.After(now) {
			continue
		}
		i, known := index[change.vm.Address]
		switch {
		case change.gone && known:
			vms[i].State = ""
		case known:
			vms[i] = change.vm
		case !change.gone:
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

func (p *Platform) serveVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	out := p.faults.Out
	p.mu.Unlock()
	if out {
		http.Error(w, "the service is out", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, savoryvmlist.Groups(p.listed()))
}
