// Command savorystand runs simulated platforms, model engines and services, a demo
// of a complete site, a load generator and measurements.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"savorycart.example/savorycore/savoryversion"
)

// Exit codes of the command.
const (
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand.
type command struct {
	name    string
	summary string
	run     func(args []string) error
}

func commands() []command {
	return []command{
		{"demo", "run a complete site on loopback and check its guarantees", runDemo},
		{"measure", "run the measurements of routing, limits, recovery and scaling", runMeasure},
		{"keys", "issue TLS certificates for a test deployment", runKeys},
		{"document", "print a configuration document of a given size", runDocument},
		{"load", "send a bounded load to running entries", runLoad},
		{"platform", "run a simulated platform: store and VM list", runPlatform},
		{"engine", "run a simulated model engine", runEngine},
		{"service", "run a simulated plain service", runService},
	}
}

func main() {
	if len(os.Args) == 2 && (os.Args[1] == "-version" || os.Args[1] == "--version") {
		fmt.Println("savorystand", savoryversion.Version)
		return
	}
	if len(os.Args) < 2 {
		usage()
	}
	for _, c := range commands() {
		if c.name != os.Args[1] {
			continue
		}
		err := c.run(os.Args[2:])
		switch {
		case errors.Is(err, flag.ErrHelp):
			os.Exit(exitUsage)
		case err != nil:
			fmt.Fprintln(os.Stderr, "savorystand "+c.name+":", err)
			os.Exit(exitFailure)
		}
		return
	}
	usage()
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: savorystand command [flags]")
	for _, c := range commands() {
		fmt.Fprintf(os.Stderr, "  %-10s %s\n", c.name, c.summary)
	}
	os.Exit(exitUsage)
}
