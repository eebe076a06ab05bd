// Command standin runs the cases of the review: it starts the entries with the command of the
// deploy file against stand-ins of the platform's store, the workers and the clients, and
// checks what the clients and workers saw.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseTimeout bounds a case. It is below the 120 seconds that a script may take.
const caseTimeout = 100 * time.Second

// cases maps the name of a case to the function that runs it and returns what broke the rule.
var cases = map[string]func(context.Context, *fleet) ([]string, error){}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin store|worker|case ...")
		os.Exit(exitCannotRun)
	}
	var err error
	switch os.Args[1] {
	case "store":
		err = runStore(os.Args[2:])
	case "worker":
		err = runWorker(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2:]))
	default:
		err = fmt.Errorf("unknown command %q", os.Args[1])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitCannotRun)
	}
}

func runCase(args []string) int {
	flags := flag.NewFlagSet("case", flag.ExitOnError)
	name := flags.String("name", "", "name of the case")
	root := flags.String("root", ".", "the repository")
	dir := flags.String("dir", ".", "folder for record.txt")
	_ = flags.Parse(args)
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitCannotRun
	}
	f, err := newFleet(*root, *dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer f.end()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	done := make(chan struct{})
	var broken []string
	go func() {
		defer close(done)
		broken, err = run(ctx, f)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		fmt.Fprintln(os.Stderr, "the case was ended:", ctx.Err())
		return exitCannotRun
	}
	if err != nil {
		f.log("result: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	for _, b := range broken {
		f.log("broken: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		f.log("result: the rule was broken")
		return exitBroken
	}
	f.log("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
