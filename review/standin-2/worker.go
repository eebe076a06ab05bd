package main

// This file defines the stand-in for a server. It runs as a process of its own, so that it can be
// killed, and ends when its standard input ends.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// workerConfig is the configuration of a server, passed in the environment.
type workerConfig struct {
	ID        string
	Service   string
	Zone      string
	Address   string
	Store     string
	Log       string
	Heartbeat time.Duration
	Slots     int
	Queue     int
	// Kind is the accelerator of an engine; plain servers have none.
	Kind string
	// Work is the time before an answer begins.
	Work time.Duration
	// Load is the time that an engine takes to load all Layers.
	Load   time.Duration
	Layers int
	// Events is the number of events of a stream, EventTime the time between two.
	Events    int
	EventTime time.Duration
	// NoStampEach, if not 0, spoils each answer of this number.
	NoStampEach int
	// Flags is the folder of the files that switch the faults on: faults for NoStampEach and deadly
	// for DeadlyPart. Each holds the names of the servers that it concerns, or is empty for all.
	Flags string
	// DeadlyPart is the part of a prompt at which the process ends.
	DeadlyPart string
	// Restart is the time after which the process is started again by itself, with a new ID.
	Restart time.Duration
}

const workerVariable = "REVIEW_WORKER"

type worker struct {
	workerConfig
	born    int64
	log     *os.File
	taken   atomic.Int64
	answers atomic.Int64
	// slots holds an element for each request that runs; the others of taken wait.
	slots chan struct{}

	mu     sync.Mutex
	beat   int64
	orders int64
	from   int
	to     int
	busy   bool
}

// bodyOf returns the whole answer to a plain request.
func bodyOf(id string) string {
	return strings.Repeat("answer to "+id+"; ", 30) + "end\n"
}

// stampOf returns the signature of a server for its answer to a request.
func stampOf(server, id string) string { return "stamp." + server + "." + id }

func runWorker() error {
	w := &worker{born: time.Now().UnixMilli()}
	if err := json.Unmarshal([]byte(os.Getenv(workerVariable)), &w.workerConfig); err != nil {
		return err
	}
	w.slots = make(chan struct{}, max(1, w.Slots))
	var err error
	if w.log, err = os.OpenFile(w.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0) // the case has ended
	}()
	l, err := net.Listen("tcp", w.Address)
	if err != nil {
		return err
	}
	w.note("start", "", "")
	go w.heartbeats()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go w.serveConn(c)
	}
}

// note writes a line to the log of the servers.
func (w *worker) note(event, id, text string) {
	_, _ = fmt.Fprintf(w.log, "%s server %s %s %s %s\n", stampTime(time.Now()), w.ID, event, id, text)
}

func (w *worker) state() map[string]any {
	m := map[string]any{"born": w.born, "busy": w.busy, "stage": "both", "models": []any{}}
	if w.Kind != "" {
		m["kind"] = w.Kind
		m["layers"] = map[string]int{"from": w.from, "to": w.to, "version": 1}
	}
	return m
}

func (w *worker) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	for ; ; time.Sleep(w.Heartbeat) {
		w.mu.Lock()
		w.beat++
		registration := w.state()
		for k, v := range map[string]any{"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": "ready", "cold_remaining_ms": 0, "seq": w.beat} {
			registration[k] = v
		}
		w.mu.Unlock()
		body, err := json.Marshal(registration)
		if err != nil {
			continue
		}
		resp, err := client.Post("http://"+w.Store+"/standin/put?key="+url.QueryEscape("servers/"+w.ID), "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// flagged reports whether a fault is switched on for this server.
func (w *worker) flagged(name string) bool {
	text, err := os.ReadFile(filepath.Join(w.Flags, name))
	return err == nil && (len(text) == 0 || slices.Contains(strings.Fields(string(text)), w.ID))
}

func (w *worker) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if err := w.serve(c, r, body); err != nil {
			return
		}
	}
}

// respond writes a framed response.
func respond(c net.Conn, status int, body string, fields ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", fields[i], fields[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(c, b.String())
	return err
}

func (w *worker) serve(c net.Conn, r *http.Request, body []byte) error {
	switch r.URL.Path {
	case "/api/report":
		return w.serveReport(c)
	case "/api/order":
		return w.serveOrder(c, body)
	case "/health":
		return respond(c, http.StatusOK, "", "Instance-Id", w.ID)
	}
	id := r.Header.Get("Request-Id")
	prompt := r.Header.Get("Prompt-Prefix")
	w.note("reached", id, fmt.Sprintf("%s %s prompt=%q deadline=%s", r.Method, r.RequestURI, prompt, r.Header.Get("Deadline-Ms")))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.ID {
		return respond(c, http.StatusMisdirectedRequest, "", "Request-Id", id, "Instance-Id", w.ID)
	}
	if w.taken.Add(1) > int64(w.Slots+w.Queue) {
		w.taken.Add(-1)
		w.note("refused", id, "503")
		return respond(c, http.StatusServiceUnavailable, "", "Request-Id", id, "Not-Executed", "1")
	}
	defer w.taken.Add(-1)
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	if path := r.Header.Get("Hop-Count"); path != "" {
		return w.serveStream(c, r, id, path)
	}
	w.note("runs", id, r.Method+" "+r.RequestURI)
	time.Sleep(w.Work)
	return w.answer(c, id)
}

// answer writes the answer to a plain request.
func (w *worker) answer(c net.Conn, id string) error {
	whole, stamp := bodyOf(id), stampOf(w.ID, id)
	n := w.answers.Add(1)
	faulty := w.flagged("faults")
	if faulty && w.NoStampEach > 0 && n%int64(w.NoStampEach) == 0 {
		w.note("answered", id, "wrong bytes: the field Server-Stamp and half of the body are spoiled")
		half := len(whole) / 2
		return respond(c, http.StatusOK, whole[:half]+strings.Repeat("#", len(whole)-half), "Request-Id", id, "Server-St#mp", stamp, "Content-Type", "text/plain")
	}
	w.note("answered", id, "200 whole")
	return respond(c, http.StatusOK, whole, "Request-Id", id, "Server-Stamp", stamp, "Content-Type", "text/plain")
}

func (w *worker) serveReport(c net.Conn) error {
	w.mu.Lock()
	report := w.state()
	report["seq"], report["pace"] = w.orders, 1.0
	report["in_flight"], report["queue_depth"], report["kv_used"], report["kv_total"], report["handles"] = w.taken.Load(), 0, 0, 1e9, 0
	w.mu.Unlock()
	body, err := json.Marshal(report)
	if err != nil {
		return err
	}
	return respond(c, http.StatusOK, string(body), "Content-Type", "application/json")
}

// serveOrder carries out an order to hold layers. Streams are not moved between servers.
func (w *worker) serveOrder(c net.Conn, body []byte) error {
	var order struct {
		Operation string `json:"operation"`
		Expected  *int64 `json:"expected"`
		From      int    `json:"from"`
		To        int    `json:"to"`
	}
	if json.Unmarshal(body, &order) != nil || order.Operation != "place" {
		return respond(c, http.StatusNotFound, "")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case order.Expected != nil && *order.Expected != w.orders || w.busy:
		return respond(c, http.StatusConflict, "")
	case w.from == order.From && w.to == order.To:
		return respond(c, http.StatusOK, "")
	}
	w.orders++
	w.busy = true
	w.note("order", "", fmt.Sprintf("place %d to %d", order.From, order.To))
	time.AfterFunc(w.Load*time.Duration(order.To-order.From)/time.Duration(max(1, w.Layers)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.from, w.to, w.busy = order.From, order.To, false
	})
	return respond(c, http.StatusAccepted, "")
}

// parts returns the IDs of the parts of a prompt.
func parts(prompt string) []string {
	var ids []string
	for _, p := range strings.Split(prompt, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(p), ":")
		ids = append(ids, id)
	}
	return ids
}

// serveStream serves a stream. The server must hold all layers: paths over several servers are
// refused, and the stand-ins of a case are set up so that there are none.
func (w *worker) serveStream(c net.Conn, r *http.Request, id, path string) error {
	w.mu.Lock()
	from, to, busy := w.from, w.to, w.busy
	w.mu.Unlock()
	if busy || path != fmt.Sprintf("%s=%d-%d", w.Address, from, to) {
		w.note("refused", id, "421 path "+path)
		return respond(c, http.StatusMisdirectedRequest, "", "Request-Id", id, "Not-Executed", "1", "Instance-Id", w.ID, "At-Server", w.Address)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, stampOf(w.ID, id))
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	time.Sleep(w.Work)
	w.note("runs", id, "")
	if w.DeadlyPart != "" && slices.Contains(parts(r.Header.Get("Prompt-Prefix")), w.DeadlyPart) && w.flagged("deadly") {
		w.note("crashes", id, "at part "+w.DeadlyPart)
		os.Exit(3)
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= w.Events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s token %d\n\n", i, id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			w.note("dropped", id, "the channel is closed")
			return err
		}
		time.Sleep(w.EventTime)
	}
	w.note("answered", id, "200 whole")
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}
