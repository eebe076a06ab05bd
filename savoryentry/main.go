// Command savoryentry runs the entry process on an entry VM. SIGTERM or
// SIGINT begins a drain; a second signal ends the drain at once.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savoryversion"
	"savorycart.example/savoryentry/savorynode"
)

// memoryFraction is the fraction of the VM's memory from which on the runtime
// collects garbage more often. The rest is for what it does not count, such as
// bytes that were received and not yet read.
const memoryFraction = 0.7

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	settingsFile := flag.String("settings", "", "TOML `file` with the settings of this entry")
	check := flag.Bool("check", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println("savoryentry", savoryversion.Version)
		return
	}
	if *settingsFile == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "usage: savoryentry -settings file [-check]")
		os.Exit(exitUsage)
	}
	if err := run(*settingsFile, *check); err != nil {
		fmt.Fprintln(os.Stderr, "savoryentry:", err)
		os.Exit(exitFailed)
	}
}

func run(settingsFile string, check bool) error {
	settings, err := savorynode.ReadSettings(settingsFile)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("settings are right")
		return nil
	}
	if memory := settings.MemoryBytes(); memory > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(memory)))
	}
	logger, err := savorylog.New(os.Stderr, settings.LogLevel)
	if err != nil {
		return err
	}
	node := &savorynode.Node{Settings: settings, Log: logger}
	go stopOnSignal(node)
	return node.Run(context.Background())
}

// stopOnSignal drains the node after the first signal and stops it after the
// second.
func stopOnSignal(node *savorynode.Node) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	node.Drain()
	<-signals
	node.Stop()
}
