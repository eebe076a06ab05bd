package main

// This file defines the stand-in for a backend server: a plain service, or an engine that
// holds layers and answers with event streams. It speaks HTTP/1.1 on raw connections, so that
// it can answer without a length, end early, or answer without end.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workerSettings are the settings of a worker, passed as JSON.
type workerSettings struct {
	ID      string
	Service string
	Address string
	Zone    string
	Store   string
	Slots   int

	// Streams makes a plain service answer with event streams.
	Streams bool
	// Layers, Kind and LoadMS are set for engines.
	Layers int
	Kind   string
	LoadMS int

	// WorkMS is the time from a request to the first byte of its answer. PauseMS is the time
	// between the two halves of a plain answer, EventMS the time between two events.
	WorkMS  int
	PauseMS int
	EventMS int
	// BodyBytes is the size of a plain answer.
	BodyBytes int
	// NoLength makes answers end with their connection, without a length and without chunks.
	NoLength bool
	// CrashPart is the part of a prompt on which the worker crashes when it begins to write
	// event CrashEvent of the answer.
	CrashPart  string
	CrashEvent int
	// EndlessEvery, if not 0, makes the worker answer one of so many requests with status 500
	// and a body without end.
	EndlessEvery int
}

const (
	beatInterval   = 1200 * time.Millisecond
	tokensPerEvent = 3
)

type worker struct {
	workerSettings
	born time.Time

	mu     sync.Mutex
	seq    int64
	orders int64
	from   int
	to     int
	busy   bool
	active int
	served bool
	// answers counts the streams that the worker has begun to answer.
	answers int
}

func runWorker(args []string) error {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	text := f.String("settings", "", "settings as JSON")
	_ = f.Parse(args)
	w := &worker{born: time.Now()}
	if err := json.Unmarshal([]byte(*text), &w.workerSettings); err != nil {
		return err
	}
	l, err := net.Listen("tcp", w.Address)
	if err != nil {
		return err
	}
	go w.beat()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go w.serve(c)
	}
}

// log writes a line of the record to standard output.
func (w *worker) log(format string, args ...any) {
	fmt.Printf("%d worker %s %s\n", time.Now().UnixMicro(), w.ID, fmt.Sprintf(format, args...))
}

func (w *worker) beat() {
	for {
		w.mu.Lock()
		w.seq++
		value := map[string]any{
			"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": "ready",
			"cold_remaining_ms": 0, "seq": w.seq, "born": w.born.UnixMilli(),
		}
		if w.Layers > 0 {
			value["stage"], value["busy"], value["kind"] = "both", w.busy, w.Kind
			value["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}
			value["layers"] = map[string]int{"from": w.from, "to": w.to, "version": 1}
		}
		w.mu.Unlock()
		if err := putValue(w.Store, "servers/"+w.ID, value); err != nil {
			w.log("not registered: %v", err)
		}
		time.Sleep(beatInterval)
	}
}

// putValue writes a key of the store as the operator or a worker does.
func putValue(store, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"Key": key, "Value": text})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+store+putPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.answer(c, r, body) {
			return
		}
	}
}

// respond writes a whole answer with a length. It reports whether the connection goes on.
func (w *worker) respond(c net.Conn, r *http.Request, status int, header string, body []byte) bool {
	id := ""
	if v := r.Header.Get("Request-Id"); v != "" {
		id = "Request-Id: " + v + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, header, len(body), body)
	return err == nil
}

func (w *worker) instance() string { return "Instance-Id: " + w.ID + "\r\n" }

// answer answers one request and reports whether the connection goes on.
func (w *worker) answer(c net.Conn, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case "/health":
		return w.respond(c, r, http.StatusOK, w.instance(), nil)
	case "/api/report":
		return w.respond(c, r, http.StatusOK, "Content-Type: application/json\r\n"+w.instance(), w.report())
	case "/api/order":
		status, reply := w.order(body)
		return w.respond(c, r, status, "Content-Type: application/json\r\n"+w.instance(), reply)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.ID {
		return w.respond(c, r, http.StatusMisdirectedRequest, w.instance(), nil)
	}
	w.mu.Lock()
	if w.active >= w.Slots {
		w.mu.Unlock()
		return w.respond(c, r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", nil)
	}
	w.active++
	w.served = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	if w.Layers > 0 || w.Streams {
		return w.stream(c, r)
	}
	return w.plain(c, r)
}

func (w *worker) report() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	report := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "busy": w.busy, "seq": w.orders,
		"queue_depth": 0, "in_flight": w.active, "kv_used": 0, "kv_total": 1e9, "handles": 0, "born": w.born.UnixMilli(), "pace": 1.0,
		"kind": w.Kind, "layers": map[string]int{"from": w.from, "to": w.to, "version": 1}, "stalled": []any{},
	}
	text, _ := json.Marshal(report)
	return text
}

func (w *worker) order(body []byte) (int, []byte) {
	var o struct {
		Operation string
		Expected  *int64
		From, To  int
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Operation != "place" && o.Operation != "repath" {
		return http.StatusBadRequest, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Operation == "repath" {
		return http.StatusNotFound, nil
	}
	switch {
	case w.from == o.From && w.to == o.To && !w.busy:
		return http.StatusOK, nil
	case o.Expected != nil && *o.Expected != w.orders, w.busy:
		return http.StatusConflict, nil
	}
	w.orders++
	w.busy = true
	load := time.Duration(w.LoadMS) * time.Millisecond
	if !w.served {
		load /= 10
	}
	w.from, w.to = max(w.from, o.From), min(w.to, o.To)
	if w.from >= w.to {
		w.from, w.to = 0, 0
	}
	w.log("order: place %d-%d", o.From, o.To)
	go func() {
		time.Sleep(load)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.from, w.to, w.busy = o.From, o.To, false
	}()
	return http.StatusAccepted, nil
}

// stamp returns the MAC of an answer. The stand-in uses a text that names the worker and the
// request, so that the record shows whose answer a caller got.
func (w *worker) stamp(r *http.Request) string { return w.ID + "." + r.Header.Get("Request-Id") }

// plainBody is the whole answer to a plain request.
func plainBody(id string, n int) []byte {
	line := []byte("answer to " + id + "\n")
	return append(bytes.Repeat(line, n/len(line)), []byte("end of the answer to "+id+"\n")...)
}

func (w *worker) plain(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	body := plainBody(id, w.BodyBytes)
	w.log("runs %s", id)
	time.Sleep(time.Duration(w.WorkMS) * time.Millisecond)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/plain\r\n", id, w.stamp(r))
	if w.NoLength {
		head += "Connection: close\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	}
	half := len(body) / 2
	if _, err := c.Write(append([]byte(head), body[:half]...)); err != nil {
		return false
	}
	w.log("wrote the first %d of %d bytes of the answer to %s", half, len(body), id)
	time.Sleep(time.Duration(w.PauseMS) * time.Millisecond)
	if _, err := c.Write(body[half:]); err != nil {
		return false
	}
	w.log("wrote all %d bytes of the answer to %s", len(body), id)
	return !w.NoLength
}

// holdsChain reports whether the worker holds its part of the request's chain.
func (w *worker) holdsChain(r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	path := r.Header.Get("Hop-Count")
	if path == "" {
		return w.from == 0 && w.to == w.Layers
	}
	first, _, _ := strings.Cut(path, ",")
	address, layers, _ := strings.Cut(first, "=")
	a, b, _ := strings.Cut(layers, "-")
	from, _ := strconv.Atoi(a)
	to, _ := strconv.Atoi(b)
	return address == w.Address && w.from <= from && to <= w.to
}

// eventText is event n of the answer with the given number of events.
func eventText(id string, n, total int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", n, id, n, total)
}

// totalEvents returns the number of events of the answer to a request with this Token-Count.
func totalEvents(tokenCount string) int {
	_, answer, _ := strings.Cut(tokenCount, ",")
	n, _ := strconv.Atoi(answer)
	return (n + tokensPerEvent - 1) / tokensPerEvent
}

func (w *worker) stream(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	if !w.holdsChain(r) {
		return w.respond(c, r, http.StatusMisdirectedRequest, w.instance()+"At-Server: "+w.Address+"\r\n", nil)
	}
	total := totalEvents(r.Header.Get("Token-Count"))
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.mu.Lock()
	w.answers++
	endless := w.EndlessEvery > 0 && w.answers%w.EndlessEvery == 0
	w.mu.Unlock()
	if endless {
		return w.failWithoutEnd(c, r)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n", id, w.stamp(r))
	if w.NoLength {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	time.Sleep(time.Duration(w.WorkMS) * time.Millisecond)
	w.log("runs %s from event %d of %d, path %s", id, next, total, r.Header.Get("Hop-Count"))
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	crashes := w.CrashPart != "" && slices.Contains(sharedParts(r.Header.Get("Prompt-Prefix")), w.CrashPart)
	for n := next; n <= total; n++ {
		time.Sleep(time.Duration(w.EventMS) * time.Millisecond)
		if crashes && n >= w.CrashEvent {
			w.log("crashes under %s at event %d of %d", id, n, total)
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
		event := eventText(id, n, total)
		if !w.NoLength {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			w.log("connection of %s ended at event %d of %d", id, n, total)
			return false
		}
	}
	w.log("ends %s after event %d of %d", id, total, total)
	if w.NoLength {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// sharedParts returns the IDs of all parts of a prompt but the last.
func sharedParts(prefix string) []string {
	var ids []string
	for _, part := range strings.Split(prefix, ",") {
		id, _, _ := strings.Cut(part, ":")
		ids = append(ids, id)
	}
	return ids[:len(ids)-1]
}

// failWithoutEnd answers with a failure whose body does not end until the caller closes.
func (w *worker) failWithoutEnd(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	w.log("answers %s with 500 and a body without end", id)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n", id, w.stamp(r)); err != nil {
		return false
	}
	block := bytes.Repeat([]byte("trouble "), 512)
	sent := 0
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(block), block); err != nil {
			w.log("the caller closed the answer to %s after %d bytes", id, sent)
			return false
		}
		sent += len(block)
		time.Sleep(time.Millisecond)
	}
}
