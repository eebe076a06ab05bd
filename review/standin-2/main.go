// Command standin runs the cases of the second review: it starts the entries of the deploy file and
// stand-ins for servers as processes on loopback, with a stand-in for the store and clients of its
// own. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sort"
)

// caseFunc runs a case and reports what broke the rule; nothing if it held.
type caseFunc func(d *deployment) (broken []string, err error)

var cases = map[string]caseFunc{
	"no-stamp":         noStamp,
	"entry-without-id": entryWithoutID,
	"sound-part":       soundPart,
	"deep-part":        partAfter(16),
	// shallow-part keeps the rule: see the claim of case 10.
	"shallow-part": partAfter(2),
}

func main() {
	// The entries end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) == 2 && os.Args[1] == "worker" {
		if err := runWorker(); err != nil {
			fmt.Fprintln(os.Stderr, "worker:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(run())
}

func run() int {
	record := flag.String("record", "record.txt", "`file` of the record")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	names := make([]string, 0, len(cases))
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	f := cases[flag.Arg(0)]
	if f == nil || flag.NArg() != 1 || *trouble != "0" && *trouble != "1" {
		fmt.Fprintln(os.Stderr, "usage: standin -record FILE -trouble 0|1 CASE; the cases are", names)
		return resultCannot
	}
	d, err := newDeployment(*trouble == "1")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return resultCannot
	}
	d.onSignal()
	broken, err := f(d)
	servers := d.end()
	if err != nil {
		d.note("the case could not run: %v", err)
	}
	for _, b := range broken {
		d.note("BROKEN %s", b)
	}
	if werr := d.writeRecord(*record, servers); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		return resultCannot
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return resultCannot
	case len(broken) == 0:
		fmt.Println("the rule held")
		return resultHeld
	}
	for i, b := range broken {
		if i == 10 {
			fmt.Println("... and", len(broken)-i, "more, see", *record)
			break
		}
		fmt.Println("broken:", b)
	}
	return resultBroken
}
