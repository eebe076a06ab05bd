// Command savoryctl is the operators' command line for entries, their configuration
// document and their logs.
//
// It exits with 0 on success, 1 on failure, 2 on wrong usage, 3 if a change was
// refused and not made or a request would be refused, 4 if the outcome of a change is unknown, 5
// if a request has no route, and 6 if the command where has not reached its entry.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryversion"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitRefused    = 3
	exitUnknown    = 4
	exitNoRoute    = 5
	exitNotReached = 6
)

// errUsage reports wrong arguments; the usage was already printed.
var errUsage = errors.New("wrong usage")

// command is one subcommand. args and summary are shown in the usage.
type command struct {
	name    string
	args    string
	summary string
	run     func(*session, []string) error
}

// session holds the environment of one run of the command line, which tests replace.
type session struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
	getenv func(string) string
}

func commands() []command {
	return []command{
		{"check", "FILE", "check a document, or with -settings the settings of an entry, without submitting it", runCheck},
		{"init", "FILE", "submit the first document, with the bootstrap token", runInit},
		{"show", "", "print the document in force, or one section of it", runShow},
		{"submit", "FILE", "submit one section that was read at a revision", runSubmit},
		{"status", "", "show the revision in force at each entry", runStatus},
		{"servers", "", "show the state of the backend servers at an entry", runServers},
		{"pipelines", "", "show the pipelines and their layer cover", runPipelines},
		{"leave", "SERVER", "stop new work for a backend server, or allow it again", runLeave},
		{"where", "", "show where a request would go now, without sending it", runWhere},
		{"explain", "ID", "show the history of a request and the cause of its end from logs", runExplain},
		{"report", "FILE...", "write a page with the outcomes of requests and state changes over time", runReport},
		{"drain", "", "begin the planned shutdown of an entry", runDrain},
	}
}

func main() {
	s := &session{ctx: context.Background(), out: os.Stdout, errOut: os.Stderr, getenv: os.Getenv}
	os.Exit(s.main(os.Args[1:]))
}

// main runs the command line and returns the exit code.
func (s *session) main(args []string) int {
	if len(args) == 1 && (args[0] == "-version" || args[0] == "--version") {
		fmt.Fprintln(s.out, "savoryctl", savoryversion.Version)
		return exitOK
	}
	if len(args) == 0 {
		s.usage()
		return exitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return s.exitCode(c, c.run(s, args[1:]))
		}
	}
	fmt.Fprintf(s.errOut, "savoryctl: no command %q\n", args[0])
	s.usage()
	return exitUsage
}

// exitCode prints the error of a command, if any, and returns the exit code for it.
func (s *session) exitCode(c command, err error) int {
	var refused *savoryverdict.Error
	var status *statusError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage), errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &status):
		fmt.Fprintf(s.errOut, "savoryctl %s: %v\n", c.name, status)
		return status.code
	case errors.As(err, &refused) && refused.Verdict == savoryverdict.NotRun:
		fmt.Fprintf(s.errOut, "savoryctl %s: refused: %v\n", c.name, refused)
		return exitRefused
	case errors.As(err, &refused) && refused.Verdict == savoryverdict.MayHaveRun:
		fmt.Fprintf(s.errOut, "savoryctl %s: outcome unknown: %v\n", c.name, refused)
		return exitUnknown
	default:
		fmt.Fprintf(s.errOut, "savoryctl %s: %v\n", c.name, err)
		return exitFailed
	}
}

func (s *session) usage() {
	fmt.Fprintln(s.errOut, "usage: savoryctl command [flags] [argument]")
	for _, c := range commands() {
		fmt.Fprintf(s.errOut, "  %-10s %-7s %s\n", c.name, c.args, c.summary)
	}
	fmt.Fprintln(s.errOut, "savoryctl command -h shows the flags of a command; savoryctl -version the version.")
}
