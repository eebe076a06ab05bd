package main

// This file defines the subcommands that run a simulated platform, engine or service
// as a process.

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savorymodel"
	"savorycart.example/savorystand/savoryplatform"
	"savorycart.example/savorystand/savoryservice"
)

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

func runPlatform(args []string) error {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:2379", "`address` to listen on")
	writes := flags.Int("writes", 300, "maximum `writes` per second")
	reads := flags.Int("reads", 2000, "maximum `reads` per second")
	lag := flags.Duration("lag", 2*time.Second, "`delay` until the VM list shows a change")
	entries := flags.String("entries", "", "comma-separated entries in the VM list, each `address@zone@region`")
	if err := flags.Parse(args); err != nil {
		return err
	}
	p := &savoryplatform.Platform{WritesPerSecond: *writes, ReadsPerSecond: *reads, ListLag: *lag}
	handler := p.Handler()
	for _, text := range strings.Split(*entries, ",") {
		if text == "" {
			continue
		}
		vm, err := parseEntry(text)
		if err != nil {
			return err
		}
		p.SetVM(vm)
	}
	return serveUntilSignal(*address, handler)
}

// parseEntry parses "address@zone@region".
func parseEntry(text string) (savoryworld.VM, error) {
	parts := strings.Split(text, "@")
	if len(parts) != 3 {
		return savoryworld.VM{}, fmt.Errorf("-entries: %q is not address@zone@region", text)
	}
	address, err := netip.ParseAddrPort(parts[0])
	if err != nil {
		return savoryworld.VM{}, fmt.Errorf("-entries: %w", err)
	}
	return savoryworld.VM{Address: address, Zone: parts[1], Region: parts[2], State: savoryworld.VMLive, Entry: true}, nil
}

func runEngine(args []string) error {
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	address := flags.String("address", "", "`address` to listen on")
	name := flags.String("name", "", "`name` of the backend server")
	model := flags.String("model", "shift-writer", "`model` that the engine holds")
	version := flags.String("model-version", "v1", "`version` of the model")
	layers := flags.String("layers", "", "`range` of layers that the engine holds, such as 0-5")
	base := flags.Duration("step-base", 200*time.Microsecond, "base time of a step per layer")
	token := flags.Duration("step-token", 3*time.Microsecond, "additional time of a step per layer and token")
	tokens := flags.Int("max-tokens", 48, "maximum `tokens` in a step")
	ignore := flags.Bool("ignore-fence", false, "do not check fencing tokens")
	if err := flags.Parse(args); err != nil {
		return err
	}
	var held savoryworld.LayerRange
	if err := held.UnmarshalText([]byte(*layers)); err != nil {
		return fmt.Errorf("-layers: %w", err)
	}
	if *name == "" || held.Empty() {
		return fmt.Errorf("-name and -layers are required")
	}
	engine := &savorymodel.Engine{
		Name: *name, ChecksFence: !*ignore, LoadTime: time.Second,
		Accelerator: savoryworld.Accelerator{
			Name: "stand-in", StepBase: savoryworld.Duration(*base), StepToken: savoryworld.Duration(*token), MaxTokens: *tokens,
		},
		InitialAssignment: savoryengine.Assignment{Model: *model, Version: *version, Layers: held},
	}
	return serveUntilSignal(*address, engine.Handler())
}

func runService(args []string) error {
	flags := flag.NewFlagSet("service", flag.ContinueOnError)
	address := flags.String("address", "", "`address` to listen on")
	name := flags.String("name", "dispatch-1", "`name` of the backend server")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return serveUntilSignal(*address, &savoryservice.Service{Name: *name})
}

// serveUntilSignal serves until the process receives SIGTERM or an interrupt.
func serveUntilSignal(address string, handler http.Handler) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("-address: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Addr: parsed.String(), Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}
