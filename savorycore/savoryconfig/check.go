package savoryconfig

// This file defines the validation of documents.

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"savorycart.example/savorycore/savoryworld"
)

// Check validates d. The error is an *InputError for the first rule that d
// breaks.
func (d *Document) Check() error {
	c := checker{doc: d}
	c.checkNames()
	c.checkTeams()
	c.checkTopology()
	c.checkPipelines()
	c.checkBackendServers()
	c.checkLayerCoverage()
	c.checkRoutes()
	c.checkCustomers()
	if c.err != nil {
		return c.err
	}
	return nil
}

// checker validates a document and keeps the first error.
type checker struct {
	doc *Document
	err *InputError
}

// recordError keeps the error unless there is an earlier error.
func (c *checker) recordError(field, format string, args ...any) {
	if c.err == nil {
		c.err = &InputError{Field: field, Message: fmt.Sprintf(format, args...)}
	}
}

// require records an error if ok is false.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.recordError(field, format, args...)
	}
}

// checkNames requires that names are set and unique within their section.
func (c *checker) checkNames() {
	for _, s := range Sections() {
		seen := make(map[string]bool)
		for _, r := range c.doc.records(s) {
			c.require(strings.TrimSpace(r.name) != "", string(s)+".Name", "is empty")
			c.require(!seen[r.name], string(s)+"."+r.name, "is defined twice")
			seen[r.name] = true
		}
	}
}

// checkTeams requires that exactly one team owns each section.
func (c *checker) checkTeams() {
	teamBySection := make(map[string]string)
	for _, team := range c.doc.Teams {
		field := "Teams." + team.Name
		c.require(isSHA256(team.TokenSHA256), field+".TokenSHA256", "is not a SHA-256 digest in hex")
		for _, s := range team.Sections {
			c.require(Section(s).Valid(), field+".Sections", "%q is not a section", s)
			c.require(teamBySection[s] == "", field+".Sections", "%s is owned by team %s too", s, teamBySection[s])
			teamBySection[s] = team.Name
		}
	}
	for _, s := range Sections() {
		c.require(teamBySection[string(s)] != "", "Teams", "no team owns section %s", s)
	}
}

// checkTopology checks the zones, links and accelerators.
func (c *checker) checkTopology() {
	for _, zone := range c.doc.Zones {
		c.require(zone.Region != "", "Zones."+zone.Name+".Region", "is empty")
	}
	for _, link := range c.doc.Links {
		field := "Links." + link.From + "/" + link.To
		c.require(c.hasZone(link.From), field+".From", "no zone %q", link.From)
		c.require(c.hasZone(link.To), field+".To", "no zone %q", link.To)
		c.require(link.BytesPerSecond > 0, field+".BytesPerSecond", "is not above 0")
	}
	for _, a := range c.doc.Accelerators {
		field := "Accelerators." + a.Name
		c.require(a.MaxTokens > 0, field+".MaxTokens", "is not above 0")
		c.require(a.StepBase+a.StepToken > 0, field+".StepBase", "StepBase and StepToken are both 0")
	}
}

func (c *checker) checkPipelines() {
	for _, p := range c.doc.Pipelines {
		field := "Pipelines." + p.Name
		c.require(p.Model != "", field+".Model", "is empty")
		c.require(p.Layers > 0, field+".Layers", "is not above 0")
		c.require(p.ActivationBytes >= 0, field+".ActivationBytes", "is below 0")
		c.require(p.FirstToken > 0, field+".FirstToken", "is not above 0")
		c.require(p.BetweenTokens > 0, field+".BetweenTokens", "is not above 0")
		c.require(p.MaxTokens > 0, field+".MaxTokens", "is not above 0")
	}
}

// checkBackendServers requires unique addresses, and zones and accelerators that
// exist.
func (c *checker) checkBackendServers() {
	serverByAddress := make(map[netip.AddrPort]string)
	zones := nameSet(c.doc.Zones, func(z savoryworld.AvailabilityZone) string { return z.Name })
	accelerators := nameSet(c.doc.Accelerators, func(a savoryworld.Accelerator) string { return a.Name })
	for _, s := range c.doc.BackendServers {
		field := "BackendServers." + s.Name
		c.require(s.Address.IsValid(), field+".Address", "is not an IP address with a port")
		c.require(serverByAddress[s.Address] == "", field+".Address", "%s is the address of %s too", s.Address, serverByAddress[s.Address])
		serverByAddress[s.Address] = s.Name
		c.require(zones[s.Zone], field+".Zone", "no zone %q", s.Zone)
		c.require((s.Service == "") != (s.Model == ""), field+".Service", "exactly one of Service and Model must be set")
		if s.IsEngine() {
			c.require(accelerators[s.Accelerator], field+".Accelerator", "no accelerator %q", s.Accelerator)
			c.require(!s.Layers.Empty(), field+".Layers", "is empty")
		}
	}
}

// checkLayerCoverage requires that each pipeline has a chain of engines that
// covers all layers without gap or overlap. Servers that are leaving count,
// because a document may drain the last server that has some layers.
func (c *checker) checkLayerCoverage() {
	for _, p := range c.doc.Pipelines {
		reachable := map[int]bool{0: true}
		for from := range p.Layers {
			if !reachable[from] {
				continue
			}
			for _, s := range c.doc.BackendServers {
				if s.Model == p.Model && s.Version == p.Version && s.Layers.From == from {
					reachable[s.Layers.To] = true
				}
			}
		}
		c.require(reachable[p.Layers], "Pipelines."+p.Name+".Layers",
			"no chain of backend servers with model %s version %q covers layers 0-%d without gap or overlap", p.Model, p.Version, p.Layers-1)
	}
}

// checkRoutes requires unique paths outside /v1/, which serves the models, and
// services that at least one backend server runs.
func (c *checker) checkRoutes() {
	services := nameSet(c.doc.BackendServers, func(s savoryworld.BackendServer) string { return s.Service })
	paths := make(map[string]string)
	for _, r := range c.doc.Routes {
		field := "Routes." + r.Name
		c.require(strings.HasPrefix(r.Path, "/"), field+".Path", "does not begin with /")
		c.require(!strings.HasPrefix(r.Path, "/v1/"), field+".Path", "/v1/ belongs to the models")
		c.require(paths[r.Path] == "", field+".Path", "is the path of route %s too", paths[r.Path])
		paths[r.Path] = r.Name
		c.require(r.Service != "" && services[r.Service], field+".Service", "no backend server runs service %q", r.Service)
		c.require(!r.Idempotent || !r.KeyRequired, field+".KeyRequired", "an idempotent route needs no key")
		policies := []savoryworld.OutagePolicy{"", savoryworld.OutageRefuse, savoryworld.OutageForward}
		c.require(slices.Contains(policies, r.WhenStoreOut), field+".WhenStoreOut", "%q is not Refuse or Forward", r.WhenStoreOut)
	}
}

// checkCustomers requires that no key is used twice and that home regions,
// pipelines and routes exist.
func (c *checker) checkCustomers() {
	pipelines := nameSet(c.doc.Pipelines, func(p savoryworld.Pipeline) string { return p.Name })
	routes := nameSet(c.doc.Routes, func(r savoryworld.Route) string { return r.Name })
	regions := nameSet(c.doc.Zones, func(z savoryworld.AvailabilityZone) string { return z.Region })
	customerByKey := make(map[string]string)
	for _, customer := range c.doc.Customers {
		field := "Customers." + customer.Name
		for _, key := range customer.KeySHA256 {
			c.require(isSHA256(key), field+".KeySHA256", "is not a SHA-256 digest in hex")
			c.require(customerByKey[key] == "", field+".KeySHA256", "a key is also that of %s", customerByKey[key])
			customerByKey[key] = customer.Name
		}
		c.require(regions[customer.HomeRegion], field+".HomeRegion", "no zone is in region %q", customer.HomeRegion)
		for _, name := range customer.Pipelines {
			c.require(pipelines[name], field+".Pipelines", "no pipeline %q", name)
		}
		for _, name := range customer.Routes {
			c.require(routes[name], field+".Routes", "no route %q", name)
		}
		c.checkContract(field+".Contract", customer.Contract)
	}
}

func (c *checker) checkContract(field string, contract savoryworld.Contract) {
	c.require(contract.RequestsPerSecond >= 0, field+".RequestsPerSecond", "is below 0")
	c.require(contract.TokensPerSecond >= 0, field+".TokensPerSecond", "is below 0")
	c.require(contract.Concurrency >= 0, field+".Concurrency", "is below 0")
	c.require(contract.Weight >= 0, field+".Weight", "is below 0")
}

func (c *checker) hasZone(name string) bool {
	return slices.ContainsFunc(c.doc.Zones, func(z savoryworld.AvailabilityZone) bool { return z.Name == name })
}

// nameSet returns the set of the names of records.
func nameSet[T any](records []T, name func(T) string) map[string]bool {
	set := make(map[string]bool, len(records))
	for _, r := range records {
		set[name(r)] = true
	}
	return set
}

// isSHA256 reports whether text is a SHA-256 digest in lower-case hex.
func isSHA256(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == 32 && text == strings.ToLower(text)
}
