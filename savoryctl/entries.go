package main

// This file defines the commands that show and change the state of entries and backend
// servers.

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryworld"
)

// entryStatus is the status of an entry, or the error of reading it.
type entryStatus struct {
	Entry  string
	Status *savoryadmin.Status `json:",omitempty"`
	Error  string              `json:",omitempty"`
}

func runStatus(s *session, args []string) error {
	o := s.options("status")
	if err := o.parse(args, 0); err != nil {
		return err
	}
	clients, err := o.clients(s)
	if err != nil {
		return err
	}
	var all []entryStatus
	failed := 0
	for _, c := range clients {
		shown := entryStatus{Entry: c.Entry.String()}
		status, err := c.Status(s.ctx)
		if err != nil {
			failed++
			shown.Error = err.Error()
		} else {
			shown.Status = status
		}
		all = append(all, shown)
	}
	if err := o.print(s, all, func() { s.printStatus(all) }); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("the status of %d of %d entries could not be read", failed, len(all))
	}
	return nil
}

func (s *session) printStatus(all []entryStatus) {
	w := s.table("ENTRY", "ZONE", "REVISION", "READY", "WATCHER", "PEERS", "IN FLIGHT")
	for _, e := range all {
		if e.Status == nil {
			fmt.Fprintf(w, "%s\t%s\n", e.Entry, e.Error)
			continue
		}
		live := 0
		for _, p := range e.Status.Peers {
			if p.Live {
				live++
			}
		}
		ready := "yes"
		if !e.Status.Ready {
			ready = "no: " + e.Status.NotReady
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%t\t%d/%d\t%d\n", e.Entry, e.Status.Zone, e.Status.Revision, ready,
			e.Status.Watcher, live, len(e.Status.Peers), e.Status.InFlight)
	}
	_ = w.Flush()
}

func runServers(s *session, args []string) error {
	o := s.options("servers")
	if err := o.parse(args, 0); err != nil {
		return err
	}
	client, err := o.client(s)
	if err != nil {
		return err
	}
	status, err := client.Status(s.ctx)
	if err != nil {
		return err
	}
	return o.print(s, status.Servers, func() {
		w := s.table("SERVER", "LEAVING", "SUSPECTED", "OWN REQUESTS", "ALL REQUESTS", "PROMPT TOKENS")
		for _, server := range status.Servers {
			fmt.Fprintf(w, "%s\t%t\t%t\t%d\t%d\t%d\n", server.Server, server.Leaving, server.Suspected, server.Own, server.Estimate.Running, server.Estimate.Prompt)
		}
		_ = w.Flush()
	})
}

// pipelineCover is a pipeline with the numbers of servers for each layer range.
type pipelineCover struct {
	Pipeline string
	Layers   int
	Ranges   []rangeCover
}

// rangeCover holds the numbers of servers that hold a layer range, and of those that
// are neither leaving nor suspected.
type rangeCover struct {
	Layers  string
	Servers int
	Usable  int
}

func runPipelines(s *session, args []string) error {
	o := s.options("pipelines")
	if err := o.parse(args, 0); err != nil {
		return err
	}
	client, err := o.client(s)
	if err != nil {
		return err
	}
	shown, err := client.Document(s.ctx, "")
	if err != nil {
		return err
	}
	doc, err := savoryconfig.Parse("entry "+client.Entry.String(), shown.Text)
	if err != nil {
		return err
	}
	status, err := client.Status(s.ctx)
	if err != nil {
		return err
	}
	usable := make(map[string]bool)
	for _, server := range status.Servers {
		usable[server.Server] = !server.Leaving && !server.Suspected
	}
	var covers []pipelineCover
	for _, p := range doc.Pipelines {
		covers = append(covers, countServers(p, doc.BackendServers, usable))
	}
	return o.print(s, covers, func() {
		w := s.table("PIPELINE", "LAYERS", "SERVERS", "USABLE")
		for _, c := range covers {
			for _, r := range c.Ranges {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", c.Pipeline, r.Layers, r.Servers, r.Usable)
			}
		}
		_ = w.Flush()
	})
}

// countServers counts the servers of each layer range of p. The ranges are in order of
// their first layer.
func countServers(p savoryworld.Pipeline, servers []savoryworld.BackendServer, usable map[string]bool) pipelineCover {
	c := pipelineCover{Pipeline: p.Name, Layers: p.Layers}
	var ranges []savoryworld.LayerRange
	countsByRange := make(map[savoryworld.LayerRange]rangeCover)
	for _, server := range servers {
		if server.Model != p.Model || server.Version != p.Version {
			continue
		}
		if !slices.Contains(ranges, server.Layers) {
			ranges = append(ranges, server.Layers)
		}
		counts := countsByRange[server.Layers]
		counts.Layers = server.Layers.String()
		counts.Servers++
		if usable[server.Name] {
			counts.Usable++
		}
		countsByRange[server.Layers] = counts
	}
	slices.SortFunc(ranges, func(a, b savoryworld.LayerRange) int { return a.From - b.From })
	for _, r := range ranges {
		c.Ranges = append(c.Ranges, countsByRange[r])
	}
	return c
}

func runLeave(s *session, args []string) error {
	o := s.options("leave")
	undo := o.set.Bool("undo", false, "allow new work again")
	if err := o.parse(args, 1); err != nil {
		return err
	}
	client, err := o.client(s)
	if err != nil {
		return err
	}
	leaving, err := client.SetLeaving(s.ctx, o.set.Arg(0), !*undo)
	if err != nil {
		return err
	}
	return o.print(s, leaving, func() { fmt.Fprintf(s.out, "%s leaving=%t\n", leaving.Server, leaving.Leaving) })
}

func runDrain(s *session, args []string) error {
	o := s.options("drain")
	if err := o.parse(args, 0); err != nil {
		return err
	}
	client, err := o.client(s)
	if err != nil {
		return err
	}
	if err := client.Drain(s.ctx); err != nil {
		return err
	}
	return o.print(s, "draining", func() { fmt.Fprintln(s.out, "draining") })
}

// table returns a writer for a table, after writing its titles. The caller flushes it.
func (s *session) table(titles ...string) *tabwriter.Writer {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(titles, "\t"))
	return w
}
