package main

// This file defines the command that writes a page with plots from the logs of several
// VMs.

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
	// minBarInterval is the shortest time that a bar of a plot stands for.
	minBarInterval = time.Second
	// maxBars is the largest number of bars of a plot; longer logs get longer intervals.
	maxBars = 240
	// answersPerLogLine is the sampling of the log: entries log one in this many
	// responses in time (see docs/OPERATIONS.md), and every other end of a request.
	answersPerLogLine = 16
	// barWidth and plotHeight are in pixels.
	barWidth   = 5
	plotHeight = 160
)

// endClass is a class of ends of requests with its colour in the plot.
type endClass struct{ Name, Colour string }

// endClasses are the classes of ends, from the bottom of a bar to its top.
var endClasses = []endClass{
	{"in time", "#4a8f5a"}, {"late", "#d9a441"}, {"failed", "#b8443c"}, {"connection cut or caller left", "#6b5b95"},
}

// reportBar holds the requests that ended in the interval of one bar.
type reportBar struct {
	// counts are the numbers of ends by class, in the order of endClasses.
	counts [4]int
	// firsts are the times to the first event of the logged responses.
	firsts []time.Duration
}

// stateChange is a state change that affects all requests. Seconds counts from the
// first end of a request.
type stateChange struct {
	Seconds float64
	VM      string
	Text    string
}

// logReport is the content of a page.
type logReport struct {
	barInterval time.Duration
	bars        []reportBar
	codes       map[string]int
	changes     []stateChange
}

// errNoEnds reports logs without the end of a request.
var errNoEnds = errors.New("no log line records the end of a request")

// runReport writes the page for the logs to standard output.
func runReport(s *session, args []string) error {
	if len(args) > 0 && len(args[0]) > 0 && args[0][0] == '-' {
		fmt.Fprintln(s.errOut, "usage: savoryctl report [FILE...] > PAGE; without a file the logs are read from standard input")
		return errUsage
	}
	lines, err := readLogs(s, "report", args)
	if err != nil {
		return err
	}
	r, err := newLogReport(lines)
	if err != nil {
		return err
	}
	return r.write(s.out)
}

// newLogReport summarizes the lines, which it sorts by time. Without the end of a
// request it returns errNoEnds.
func newLogReport(lines []logLine) (*logReport, error) {
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
	r := &logReport{barInterval: max(minBarInterval, (span/maxBars).Truncate(minBarInterval)+minBarInterval), codes: make(map[string]int)}
	if span < maxBars*minBarInterval {
		r.barInterval = minBarInterval
	}
	r.bars = make([]reportBar, span/r.barInterval+1)
	for _, l := range ends {
		b := &r.bars[l.at.Sub(begin)/r.barInterval]
		class, weight := classify(l)
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
			r.changes = append(r.changes, stateChange{Seconds: l.at.Sub(begin).Seconds(), VM: l.vm, Text: withoutTimestamp(l.text)})
		}
	}
	return r, nil
}

// classify returns the class of a request's end, as an index of endClasses, and the
// number of requests that the line stands for.
func classify(l logLine) (class, weight int) {
	switch {
	case l.outcome == "answered" && l.late:
		return 1, 1
	case l.outcome == "answered":
		return 0, answersPerLogLine
	case l.outcome == "failed":
		return 2, 1
	}
	return 3, 1
}

// rect is one rectangle of a plot; a bar is made of one or more.
type rect struct {
	X, Y, Height int
	Colour       string
	Title        string
}

// endRects returns the plot of the ends of requests, scaled to the highest bar.
func (r *logReport) endRects() []rect {
	highest := 1
	for _, b := range r.bars {
		total := 0
		for _, n := range b.counts {
			total += n
		}
		highest = max(highest, total)
	}
	var rects []rect
	for i, b := range r.bars {
		y := plotHeight
		for class, n := range b.counts {
			height := n * plotHeight / highest
			y -= height
			if n > 0 {
				rects = append(rects, rect{
					X: i * barWidth, Y: y, Height: height, Colour: endClasses[class].Colour,
					Title: fmt.Sprintf("%s: %d %s", time.Duration(i)*r.barInterval, n, endClasses[class].Name),
				})
			}
		}
	}
	return rects
}

// firstEventRects returns the plot of the time to the first event: the 90th percentile
// for each bar, scaled to the largest of them.
func (r *logReport) firstEventRects() []rect {
	percentiles := make([]time.Duration, len(r.bars))
	highest := time.Millisecond
	for i, b := range r.bars {
		if len(b.firsts) > 0 {
			slices.Sort(b.firsts)
			percentiles[i] = b.firsts[len(b.firsts)*9/10]
			highest = max(highest, percentiles[i])
		}
	}
	var rects []rect
	for i, d := range percentiles {
		height := int(d * plotHeight / highest)
		rects = append(rects, rect{
			X: i * barWidth, Y: plotHeight - height, Height: height, Colour: "#3b6ea5",
			Title: fmt.Sprintf("%s: %s", time.Duration(i)*r.barInterval, d),
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
<h1>Outcomes of requests</h1>
<p>One bar for each {{.Step}}. One of {{.SampledOf}} answers in time is logged; its line counts for all of them.
{{range .Classes}}<span style="color:{{.Colour}}">&#9632;</span> {{.Name}} {{end}}</p>
<svg width="{{.Width}}" height="{{.Height}}">{{range .Ends}}<rect x="{{.X}}" y="{{.Y}}" width="4" height="{{.Height}}" fill="{{.Colour}}"><title>{{.Title}}</title></rect>{{end}}</svg>
<h1>Time to the first event</h1>
<p>The 90th percentile of the logged answers; late answers are over-represented among them.</p>
<svg width="{{.Width}}" height="{{.Height}}">{{range .Firsts}}<rect x="{{.X}}" y="{{.Y}}" width="4" height="{{.Height}}" fill="{{.Colour}}"><title>{{.Title}}</title></rect>{{end}}</svg>
<h1>Failures by code</h1>
<table>{{range .Codes}}<tr><td>{{.Code}}</td><td>{{.Count}}</td></tr>{{end}}</table>
<h1>Changes that affect all requests</h1>
<table>{{range .Changes}}<tr><td>{{printf "%.3f" .Seconds}} s</td><td>{{.VM}}</td><td>{{.Text}}</td></tr>{{end}}</table>
</body></html>
`))

// reportView is the data of the page's template.
type reportView struct {
	Step          time.Duration
	SampledOf     int
	Classes       []endClass
	Width, Height int
	Ends, Firsts  []rect
	Codes         []codeCount
	Changes       []stateChange
}

// write writes the page as HTML.
func (r *logReport) write(w io.Writer) error {
	var codes []codeCount
	for _, code := range slices.Sorted(maps.Keys(r.codes)) {
		codes = append(codes, codeCount{code, r.codes[code]})
	}
	return reportPage.Execute(w, reportView{
		Step: r.barInterval, SampledOf: answersPerLogLine, Classes: endClasses, Width: len(r.bars) * barWidth, Height: plotHeight,
		Ends: r.endRects(), Firsts: r.firstEventRects(), Codes: codes, Changes: r.changes,
	})
}
