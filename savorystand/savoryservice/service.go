// Package savoryservice simulates a plain service next to the model engines: it
// records callouts, reservations and permits and returns rosters. It counts every
// execution, so that tests detect an action that was executed twice.
package savoryservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"savorycart.example/savorycore/savoryraw"
)

// maxBodyBytes bounds the body of one request.
const maxBodyBytes = 1 << 20

// chunkBytes is the size of each write of an endless response.
const chunkBytes = 64 << 10

// IdempotencyKeyHeader is the header with the caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// Service is a simulated service. Its exported fields are set before its first use.
type Service struct {
	Name string

	mu       sync.Mutex
	faults   Faults
	executed map[string]int
	total    int
	received int
}

// Faults are the faults that a Service simulates; the zero value has none.
type Faults struct {
	// Delay is added to each request before it is executed.
	Delay time.Duration
	// CloseAfterExecution closes the connection after the request was executed.
	CloseAfterExecution bool
	// CloseBeforeExecution closes the connection without executing the request.
	CloseBeforeExecution bool
	// Unresponsive accepts requests but neither executes nor responds to them.
	Unresponsive bool
	// ResponseBytes is the length of the Body of a receipt, which then holds the
	// zero-padded Number; 0 returns the request's body.
	ResponseBytes int
	// EndlessResponse sends a response that does not end.
	EndlessResponse bool
	// TruncatedResponse closes the connection in the middle of the response.
	TruncatedResponse bool
	// Raw, if set, is executed and written byte for byte in place of the usual response.
	Raw *savoryraw.Response
	// Header is added to each response.
	Header http.Header
	// Refuse responds with status 503 and executes nothing.
	Refuse bool
}

// Receipt is the response to an executed action.
type Receipt struct {
	Service string
	// Number is the count of executed actions, this one included.
	Number int
	Body   string
}

// SetFaults replaces the simulated faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executed returns the number of executions of requests with the idempotency key.
func (s *Service) Executed(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[key]
}

// Total returns the number of executed actions.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Received returns the number of requests that the service received.
func (s *Service) Received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// ServeHTTP returns the roster for a GET request and executes any other request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.received++
	s.mu.Unlock()
	for name, values := range faults.Header {
		w.Header()[name] = values
	}
	if faults.Refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if faults.Unresponsive {
		<-r.Context().Done()
		return
	}
	if faults.CloseBeforeExecution {
		panic(http.ErrAbortHandler)
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.EndlessResponse || faults.TruncatedResponse {
		sendEndless(w, r, faults.TruncatedResponse)
		return
	}
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, Receipt{Service: s.Name, Body: r.URL.Path})
		return
	}
	number := s.execute(r.Header.Get(IdempotencyKeyHeader))
	if faults.Raw != nil {
		writeRaw(w, faults.Raw)
		return
	}
	if faults.CloseAfterExecution {
		panic(http.ErrAbortHandler)
	}
	receipt := Receipt{Service: s.Name, Number: number, Body: string(body)}
	if faults.ResponseBytes > 0 {
		receipt.Body = fmt.Sprintf("%0*d", faults.ResponseBytes, number)
	}
	writeJSON(w, http.StatusCreated, receipt)
}

// writeRaw writes a response on the connection of a request and closes it.
func writeRaw(w http.ResponseWriter, r *savoryraw.Response) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = r.Write(c, "Content-Type: application/json") // The caller may have disconnected.
}

// sendEndless sends chunks until the caller disconnects. If truncated is true, it
// closes the connection after the first chunk.
func sendEndless(w http.ResponseWriter, r *http.Request, truncated bool) {
	chunk := make([]byte, chunkBytes)
	for r.Context().Err() == nil {
		if _, err := w.Write(chunk); err != nil {
			return
		}
		if truncated {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Service) execute(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executed == nil {
		s.executed = make(map[string]int)
	}
	s.executed[key]++
	s.total++
	return s.total
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
