// Command savorystand holds the stand-ins for what surrounds the system, a demo
// and a load tool.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"savorycart.example/savorycore/savoryversion"
)

// Exit codes.
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
		{"demo", "run a whole site on loopback and check its promises", runDemo},
		{"measure", "compare routing policies in virtual time", runMeasure},
		{"keys", "make certificates for a trial", runKeys},
		{"document", "print a document of a given size", runDocument},
		{"load", "send a bounded load to running entries", runLoad},
		{"platform", "run the stand-in of the platform", runPlatform},
		{"engine", "run the stand-in of a model engine", runEngine},
		{"service", "run the stand-in of a plain service", runService},
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
