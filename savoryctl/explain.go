package main

// This file defines the command that shows the history of a request from the logs of
// several VMs, and the reader of logs.

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
	// explainWindow is the time before the first line of a request and after its last
	// line in which state changes of its servers are shown.
	explainWindow = 2 * time.Second
	// maxLogLineBytes is the maximum length of a line of a log.
	maxLogLineBytes = 1 << 20
)

// logLine is one line of an entry's log. vm is empty if the line does not name it.
type logLine struct {
	at      time.Time
	vm      string
	message string
	request string
	server  string
	path    string
	level   string
	text    string
	// outcome, code, late and firstEvent describe the end of a request. firstEvent is
	// the time to the first event of the response, or -1 if there was none.
	outcome    string
	code       string
	late       bool
	firstEvent time.Duration
	// part is the part of prompts that the line is about, and parts are those of its
	// request.
	part  string
	parts []string
}

// runExplain prints the history of a request in order of time, with the state changes
// of the servers that it used.
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

// readLogs reads the named files, or standard input if there are none. It prints the
// number of invalid lines to the error output.
func readLogs(s *session, command string, names []string) ([]logLine, error) {
	var lines []logLine
	invalid := 0
	read := func(r io.Reader, name string) error {
		more, invalidInFile, err := readLog(r)
		lines, invalid = append(lines, more...), invalid+invalidInFile
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
	if invalid > 0 {
		fmt.Fprintf(s.errOut, "savoryctl %s: %d lines cannot be read\n", command, invalid)
	}
	return lines, nil
}

// readLog reads the lines of a log and returns them and the number of invalid lines.
// Log collectors may put text in front of the timestamp, such as a time and the name
// of a VM; its last word is taken as the VM.
func readLog(r io.Reader) ([]logLine, int, error) {
	var lines []logLine
	invalid := 0
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		line, err := parseLogLine(text)
		if err != nil {
			invalid++
			continue
		}
		lines = append(lines, line)
	}
	return lines, invalid, scanner.Err()
}

// errNotLogLine reports a line without a timestamp or a message.
var errNotLogLine = errors.New("no timestamp or message")

func parseLogLine(text string) (logLine, error) {
	begin := strings.Index(text, "timestamp=")
	if begin < 0 {
		return logLine{}, errNotLogLine
	}
	l := logLine{firstEvent: -1}
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
		return logLine{}, errNotLogLine
	}
	return l, nil
}

// textField returns the field for the text of a key, nil if there is none.
func (l *logLine) textField(key string) *string {
	switch key {
	case "message":
		return &l.message
	case "request":
		return &l.request
	case "server":
		return &l.server
	case "path", "to":
		return &l.path
	case "level":
		return &l.level
	case "outcome":
		return &l.outcome
	case "code":
		return &l.code
	case "part":
		return &l.part
	}
	return nil
}

func (l *logLine) set(key, value string) {
	if text := l.textField(key); text != nil {
		*text = value
		return
	}
	switch key {
	case "timestamp":
		if at, err := time.Parse(time.RFC3339Nano, value); err == nil {
			l.at = at
		}
	case "parts":
		l.parts = strings.Split(value, ",")
	case "late":
		l.late = value == "true"
	case "firstMs":
		if ms, err := strconv.Atoi(value); err == nil {
			l.firstEvent = time.Duration(ms) * time.Millisecond
		}
	}
}

// requestHistory holds the lines of one request.
type requestHistory struct {
	// lines are the lines of the request in order of time.
	lines []logLine
	// vms and servers are the VMs and the servers that these lines name.
	vms     map[string]bool
	servers map[string]bool
	// refused is the last line of a request that was refused for a part of its prompt.
	refused *logLine
	// limited is the last line of a request that no server took by its limit or pause.
	limited *logLine
}

// collectRequest returns the history of the request with the ID.
func collectRequest(id string, lines []logLine) requestHistory {
	f := requestHistory{vms: make(map[string]bool), servers: make(map[string]bool)}
	for _, l := range lines {
		if l.request != id {
			continue
		}
		f.lines = append(f.lines, l)
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
	slices.SortStableFunc(f.lines, byTime)
	if n := len(f.lines); n > 0 && f.lines[n-1].code == codePromptPart {
		f.refused = &f.lines[n-1]
	} else if n > 0 && f.lines[n-1].code == codeLimited {
		f.limited = &f.lines[n-1]
	}
	return f
}

// The codes of requests that were refused for a part of their prompt, and because no server
// took them by its limit or pause.
const (
	codePromptPart = "PromptPart"
	codeLimited    = "Limited"
)

// includesNotice reports whether a line states a limit or pause that the entry of a refused
// request knew of, at any time before.
func (f *requestHistory) includesNotice(l logLine) bool {
	return f.limited != nil && f.vms[l.vm] && !l.at.After(f.limited.at) && strings.HasPrefix(l.message, "server notice ")
}

// includesEvidence reports whether a line is evidence against a part of the prompt of a
// refused request, at any entry and at any time before.
func (f *requestHistory) includesEvidence(l logLine) bool {
	if f.refused == nil || l.at.After(f.refused.at) || l.request == f.refused.request {
		return false
	}
	return strings.HasPrefix(l.message, "server ended under a prompt") && slices.Contains(l.parts, f.refused.part) ||
		strings.HasPrefix(l.message, "part of prompts ") && l.part == f.refused.part
}

func byTime(a, b logLine) int { return a.at.Compare(b.at) }

// includes reports whether a line that belongs to no request records a state change
// that may have affected the request. If the request used no server, the changes of
// all servers are included, since it was refused because of the state of all of them.
func (f *requestHistory) includes(l logLine) bool {
	from, to := f.lines[0].at.Add(-explainWindow), f.lines[len(f.lines)-1].at.Add(explainWindow)
	if l.request != "" || !f.vms[l.vm] || l.at.Before(from) || l.at.After(to) {
		return false
	}
	return l.affectsAllRequests() || l.server != "" && (f.servers[l.server] || len(f.servers) == 0)
}

// explain prints the lines of a request, the state changes that may have affected it,
// and the cause of its end. Lines of the request are marked with *.
func explain(w io.Writer, id string, lines []logLine) error {
	f := collectRequest(id, lines)
	if len(f.lines) == 0 {
		return fmt.Errorf("no log line records request %q; successes are sampled, failures are not", id)
	}
	shown := slices.Clone(f.lines)
	for _, l := range lines {
		if f.includes(l) || f.includesEvidence(l) || f.includesNotice(l) {
			shown = append(shown, l)
		}
	}
	slices.SortStableFunc(shown, byTime)
	for _, l := range shown {
		mark := " "
		if l.request == id {
			mark = "*"
		}
		fmt.Fprintf(w, "%s %8.3f s %s %s\n", mark, l.at.Sub(f.lines[0].at).Seconds(), l.vm, withoutTimestamp(l.text))
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", cause(f.lines[len(f.lines)-1]))
	return err
}

// affectsAllRequests reports whether a line records a change that affects every
// request of the entry. The first word of the message decides.
func (l *logLine) affectsAllRequests() bool {
	for _, begin := range []string{"store ", "orderer ", "configuration ", "settings ", "entry ", "stop ", "plan ", "order "} {
		if strings.HasPrefix(l.message, begin) {
			return true
		}
	}
	return false
}

func withoutTimestamp(text string) string {
	_, rest, ok := strings.Cut(text, " ")
	if !ok {
		return text
	}
	return rest
}

// cause returns the cause of a request's end from its last line l. If the line of the
// end was not sampled, the last line is the last failure, which is the cause then.
func cause(l logLine) string {
	d := logfmt.NewDecoder(strings.NewReader(l.text))
	reason, failure := "", ""
	for d.ScanRecord() {
		for d.ScanKeyval() {
			switch string(d.Key()) {
			case "cause":
				reason = string(d.Value())
			case "error":
				failure = string(d.Value())
			}
		}
	}
	switch {
	case l.outcome != "" && l.outcome != "failed" && reason != "":
		// The failure came before the caller left or the response was cut.
		return l.outcome + "; " + reason
	case reason != "":
		return reason
	case l.outcome != "":
		return l.outcome
	case failure != "":
		return l.message + ": " + failure
	}
	return l.message
}
