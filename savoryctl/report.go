package main

// This file defines the command that draws what logs of several VMs tell of a
// day, as a page with plots.

import (
	"errors"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"
)

const (
	// reportStep is the width of a bar of the plot.
	reportStep = time.Second
	// reportMost bounds the bars of a page; longer logs get wider bars.
	reportMost = 240
	// sampledOf is the number of answers in time of which the entries log one, as
	// docs/OPERATIONS.md says; all others are logged each.
	sampledOf = 16
	// barWidth and plotHeight are in pixels.
	barWidth   = 5
	plotHeight = 160
)

// reportClass is a class of ends with its colour.
type reportClass struct{ Name, Colour string }

// The classes of ends, from the bottom of a bar to its top.
var reportClasses = []reportClass{
	{"in time", "#4a8f5a"}, {"late", "#d9a441"}, {"failed", "#b8443c"}, {"cut or left", "#6b5b95"},
}

// reportBar is one step of the plot.
type reportBar struct {
	// counts are the ends by class.
	counts [4]int
	// firsts are the times to the first event of the logged answers.
	firsts []time.Duration
}

// reportEvent is a change of belief that concerns all requests.
type reportEvent struct {
	Seconds float64
	VM      string
	Text    string
}

// dayReport is what a page shows.
type dayReport struct {
	step   time.Duration
	bars   []reportBar
	codes  map[string]int
	events []reportEvent
}

// errNoEnds says that the logs tell of no request.
var errNoEnds = errors.New("no line tells of the end of a request")

// runReport writes a page about the logs to standard output.
func runReport(s *session, args []string) error {
	if len(args) > 0 && len(args[0]) > 0 && args[0][0] == '-' {
		fmt.Fprintln(s.errOut, "usage: savoryctl report [FILE...] > PAGE; without a file the logs are read from standard input")
		return errUsage
	}
	lines, err := readLogs(s, "report", args)
	if err != nil {
		return err
	}
	r, err := newDayReport(lines)
	if err != nil {
		return err
	}
	return r.write(s.out)
}

// newDayReport sums up the lines.
func newDayReport(lines []logLine) (*dayReport, error) {
	slices.SortStableFunc(lines, byTime)
	var ends []logLine
	for _, l := range lines {
		if l.message == "request ended" {
			ends = append(ends, l)
		}
	}
	if len(ends) == 0 {
		return nil, errNoEnds
	}
	begin, span := ends[0].at, ends[len(ends)-1].at.Sub(ends[0].at)
	r := &dayReport{step: max(reportStep, (span/reportMost).Truncate(reportStep)+reportStep), codes: make(map[string]int)}
	if span < reportMost*reportStep {
		r.step = reportStep
	}
	r.bars = make([]reportBar, span/r.step+1)
	for _, l := range ends {
		b := &r.bars[l.at.Sub(begin)/r.step]
		class, weight := classOf(l)
		b.counts[class] += weight
		if l.firstEvent >= 0 {
			b.firsts = append(b.firsts, l.firstEvent)
		}
		if l.code != "" {
			r.codes[l.code]++
		}
	}
	for _, l := range lines {
		if l.request == "" && l.affectsAllRequests() {
			r.events = append(r.events, reportEvent{Seconds: l.at.Sub(begin).Seconds(), VM: l.vm, Text: withoutTimestamp(l.text)})
		}
	}
	return r, nil
}

// classOf returns the class of a request's end and for how many requests the line
// stands.
func classOf(l logLine) (class, weight int) {
	switch {
	case l.outcome == "answered" && l.late:
		return 1, 1
	case l.outcome == "answered":
		return 0, sampledOf
	case l.outcome == "failed":
		return 2, 1
	}
	return 3, 1
}

// rect is one part of a bar.
type rect struct {
	X, Y, Height int
	Colour       string
	Title        string
}

// plot returns the parts of all bars.
func (r *dayReport) plot() []rect {
	most := 1
	for _, b := range r.bars {
		total := 0
		for _, n := range b.counts {
			total += n
		}
		most = max(most, total)
	}
	var rects []rect
	for i, b := range r.bars {
		y := plotHeight
		for class, n := range b.counts {
			height := n * plotHeight / most
			y -= height
			if n > 0 {
				rects = append(rects, rect{
					X: i * barWidth, Y: y, Height: height, Colour: reportClasses[class].Colour,
					Title: fmt.Sprintf("%s: %d %s", time.Duration(i)*r.step, n, reportClasses[class].Name),
				})
			}
		}
	}
	return rects
}

// firsts returns the plot of the time to the first event: for each step the
// ninth of ten, against the largest.
func (r *dayReport) firsts() []rect {
	high := make([]time.Duration, len(r.bars))
	most := time.Millisecond
	for i, b := range r.bars {
		if len(b.firsts) > 0 {
			slices.Sort(b.firsts)
			high[i] = b.firsts[len(b.firsts)*9/10]
			most = max(most, high[i])
		}
	}
	var rects []rect
	for i, d := range high {
		height := int(d * plotHeight / most)
		rects = append(rects, rect{
			X: i * barWidth, Y: plotHeight - height, Height: height, Colour: "#3b6ea5",
			Title: fmt.Sprintf("%s: %s", time.Duration(i)*r.step, d),
		})
	}
	return rects
}

// codeCount is one row of the table of codes.
type codeCount struct {
	Code  string
	Count int
}

var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>savorycart report</title></head><body>
<h1>Ends of requests</h1>
<p>One bar for each {{.Step}}. Answers in time are logged one in {{.SampledOf}}, and counted so often.
{{range .Classes}}<span style="color:{{.Colour}}">&#9632;</span> {{.Name}} {{end}}</p>
<svg width="{{.Width}}" height="{{.Height}}">{{range .Ends}}<rect x="{{.X}}" y="{{.Y}}" width="4" height="{{.Height}}" fill="{{.Colour}}"><title>{{.Title}}</title></rect>{{end}}</svg>
<h1>Time to the first event</h1>
<p>Nine in ten of the logged answers began sooner; late ones are over-represented among them.</p>
<svg width="{{.Width}}" height="{{.Height}}">{{range .Firsts}}<rect x="{{.X}}" y="{{.Y}}" width="4" height="{{.Height}}" fill="{{.Colour}}"><title>{{.Title}}</title></rect>{{end}}</svg>
<h1>Failures by code</h1>
<table>{{range .Codes}}<tr><td>{{.Code}}</td><td>{{.Count}}</td></tr>{{end}}</table>
<h1>Changes that concern all requests</h1>
<table>{{range .Events}}<tr><td>{{printf "%.3f" .Seconds}} s</td><td>{{.VM}}</td><td>{{.Text}}</td></tr>{{end}}</table>
</body></html>
`))

// reportView is what the page's template reads.
type reportView struct {
	Step          time.Duration
	SampledOf     int
	Classes       []reportClass
	Width, Height int
	Ends, Firsts  []rect
	Codes         []codeCount
	Events        []reportEvent
}

// write writes the page.
func (r *dayReport) write(w io.Writer) error {
	var codes []codeCount
	for _, code := range slices.Sorted(maps.Keys(r.codes)) {
		codes = append(codes, codeCount{code, r.codes[code]})
	}
	return reportPage.Execute(w, reportView{
		Step: r.step, SampledOf: sampledOf, Classes: reportClasses, Width: len(r.bars) * barWidth, Height: plotHeight,
		Ends: r.plot(), Firsts: r.firsts(), Codes: codes, Events: r.events,
	})
}
