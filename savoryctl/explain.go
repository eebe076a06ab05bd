package main

// This file defines the command that explains a request from logs of several
// VMs.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// explainAround is the time before a request's first line and after its last
	// in which changes of belief about its servers are shown.
	explainAround = 2 * time.Second
	// maxLogLine bounds a line of a log.
	maxLogLine = 1 << 20
)

// logLine is one line of an entry's log.
type logLine struct {
	at      time.Time
	vm      string
	message string
	request string
	server  string
	path    string
	level   string
	text    string
	// outcome, code, late and first describe the end of a request; first is -1 if
	// no answer began.
	outcome string
	code    string
	late    bool
	first   time.Duration
}

// runExplain prints a request's life in order of time, with the changes of
// belief about the servers that it met.
func runExplain(s *session, args []string) error {
	if len(args) < 1 || strings.HasPrefix(args[0], "-") {
		fmt.Fprintln(s.errOut, "usage: savoryctl explain ID [FILE...]; without a file the logs are read from standard input")
		return errUsage
	}
	lines, err := readLogs(s, "explain", args[1:])
	if err != nil {
		return err
	}
	return explain(s.out, args[0], lines)
}

// readLogs reads files, or standard input without any, and tells how many lines
// cannot be read.
func readLogs(s *session, command string, names []string) ([]logLine, error) {
	var lines []logLine
	bad := 0
	read := func(r io.Reader, name string) error {
		more, faults, err := readLog(r)
		lines, bad = append(lines, more...), bad+faults
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	}
	if len(names) == 0 {
		if err := read(os.Stdin, "standard input"); err != nil {
			return nil, err
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = read(f, name)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, err
		}
	}
	if bad > 0 {
		fmt.Fprintf(s.errOut, "savoryctl %s: %d lines cannot be read\n", command, bad)
	}
	return lines, nil
}

// readLog reads the lines of a log. Text in front of the first pair, such as a
// time and a VM's name, is kept as the VM. It returns the number of lines that
// are no log lines.
func readLog(r io.Reader) ([]logLine, int, error) {
	var lines []logLine
	bad := 0
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		line, err := parseLog(text)
		if err != nil {
			bad++
			continue
		}
		lines = append(lines, line)
	}
	return lines, bad, scanner.Err()
}

// errNoLogLine says that a line lacks what each line of a log has.
var errNoLogLine = errors.New("no timestamp or message")

func parseLog(text string) (logLine, error) {
	begin := strings.Index(text, "timestamp=")
	if begin < 0 {
		return logLine{}, errNoLogLine
	}
	l := logLine{first: -1}
	if front := strings.Fields(text[:begin]); len(front) > 0 {
		l.vm = front[len(front)-1]
	}
	l.text = text[begin:]
	d := logfmt.NewDecoder(strings.NewReader(l.text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.set(string(d.Key()), string(d.Value()))
		}
	}
	if err := d.Err(); err != nil {
		return logLine{}, err
	}
	if l.at.IsZero() || l.message == "" {
		return logLine{}, errNoLogLine
	}
	return l, nil
}

func (l *logLine) set(key, value string) {
	switch key {
	case "timestamp":
		if at, err := time.Parse(time.RFC3339Nano, value); err == nil {
			l.at = at
		}
	case "message":
		l.message = value
	case "request":
		l.request = value
	case "server":
		l.server = value
	case "path", "to":
		l.path = value
	case "level":
		l.level = value
	case "outcome":
		l.outcome = value
	case "code":
		l.code = value
	case "late":
		l.late = value == "true"
	case "firstMs":
		if ms, err := strconv.Atoi(value); err == nil {
			l.first = time.Duration(ms) * time.Millisecond
		}
	}
}

// life is what logs say of one request.
type life struct {
	// own are its lines in order of time.
	own []logLine
	// vms and servers are those that it met.
	vms     map[string]bool
	servers map[string]bool
}

// lifeOf collects the lines of a request.
func lifeOf(id string, lines []logLine) life {
	f := life{vms: make(map[string]bool), servers: make(map[string]bool)}
	for _, l := range lines {
		if l.request != id {
			continue
		}
		f.own = append(f.own, l)
		f.vms[l.vm] = true
		if l.server != "" {
			f.servers[l.server] = true
		}
		for _, part := range strings.Split(l.path, ",") {
			if server, _, ok := strings.Cut(part, "="); ok {
				f.servers[server] = true
			}
		}
	}
	slices.SortStableFunc(f.own, byTime)
	return f
}

func byTime(a, b logLine) int { return a.at.Compare(b.at) }

// concerned reports whether a line of another matter tells of a change that the
// request met. One that met no server was refused for the state of all of them.
func (f *life) concerned(l logLine) bool {
	from, to := f.own[0].at.Add(-explainAround), f.own[len(f.own)-1].at.Add(explainAround)
	if l.request != "" || !f.vms[l.vm] || l.at.Before(from) || l.at.After(to) {
		return false
	}
	return l.concernsAll() || l.server != "" && (f.servers[l.server] || len(f.servers) == 0)
}

// explain prints a request's own lines, the changes that it met, and its cause.
func explain(w io.Writer, id string, lines []logLine) error {
	f := lifeOf(id, lines)
	if len(f.own) == 0 {
		return fmt.Errorf("no line tells of request %q; successes are sampled, failures are not", id)
	}
	shown := slices.Clone(f.own)
	for _, l := range lines {
		if f.concerned(l) {
			shown = append(shown, l)
		}
	}
	slices.SortStableFunc(shown, byTime)
	for _, l := range shown {
		mark := " "
		if l.request == id {
			mark = "*"
		}
		fmt.Fprintf(w, "%s %8.3f s %s %s\n", mark, l.at.Sub(f.own[0].at).Seconds(), l.vm, withoutTime(l.text))
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", cause(f.own[len(f.own)-1]))
	return err
}

// concernsAll reports whether a line tells of a change that touches every
// request of the entry.
func (l *logLine) concernsAll() bool {
	for _, begin := range []string{"store ", "orderer ", "configuration ", "settings ", "entry ", "stop ", "plan ", "order "} {
		if strings.HasPrefix(l.message, begin) {
			return true
		}
	}
	return false
}

func withoutTime(text string) string {
	_, rest, ok := strings.Cut(text, " ")
	if !ok {
		return text
	}
	return rest
}

// cause returns what the last line of a request gives as its cause. The end of a
// request may be sampled away; then its last failure is the cause.
func cause(l logLine) string {
	d := logfmt.NewDecoder(strings.NewReader(l.text))
	why, failure := "", ""
	for d.ScanRecord() {
		for d.ScanKeyval() {
			switch string(d.Key()) {
			case "cause":
				why = string(d.Value())
			case "error":
				failure = string(d.Value())
			}
		}
	}
	switch {
	case l.outcome != "" && l.outcome != "failed" && why != "":
		// The caller left or the answer was cut: the failure came before.
		return l.outcome + "; " + why
	case why != "":
		return why
	case l.outcome != "":
		return l.outcome
	case failure != "":
		return l.message + ": " + failure
	}
	return l.message
}
