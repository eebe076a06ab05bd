// Package savoryservice is a small stand-in for a plain service beside the
// model engines: it records callouts, reservations and permits and answers
// rosters. It counts every execution, so that a doubled action shows.
package savoryservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytes bounds one request.
const maxBodyBytes = 1 << 20

// chunkBytes is the size of a part of an answer without end.
const chunkBytes = 64 << 10

// IdempotencyKeyHeader carries the caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// Service is the stand-in. Its exported fields are set before its first use.
type Service struct {
	Name string

	mu       sync.Mutex
	faults   Faults
	executed map[string]int
	total    int
}

// Faults are the faults that are switched on.
type Faults struct {
	// Delay is added to each request before it is carried out.
	Delay time.Duration
	// CloseAfterExecution cuts the connection off after the request was carried out.
	CloseAfterExecution bool
	// CloseBeforeExecution cuts the connection off before it is carried out.
	CloseBeforeExecution bool
	// Unresponsive accepts requests and neither carries them out nor answers.
	Unresponsive bool
	// ResponseBytes pads the answer to that length.
	ResponseBytes int
	// EndlessResponse sends an answer without end.
	EndlessResponse bool
	// TruncatedResponse cuts the connection off in the middle of the answer.
	TruncatedResponse bool
}

// Receipt is the answer to an action.
type Receipt struct {
	Service string
	// Number counts the actions that were carried out.
	Number int
	Body   string
}

// SetFaults replaces the faults that are switched on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executed returns how often requests with the key were carried out.
func (s *Service) Executed(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[key]
}

// Total returns how many actions were carried out.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// ServeHTTP answers GET with the roster and carries any other method out.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
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
	if faults.CloseAfterExecution {
		panic(http.ErrAbortHandler)
	}
	receipt := Receipt{Service: s.Name, Number: number, Body: string(body)}
	if faults.ResponseBytes > 0 {
		receipt.Body = fmt.Sprintf("%0*d", faults.ResponseBytes, number)
	}
	writeJSON(w, http.StatusCreated, receipt)
}

// sendEndless sends parts of an answer until the caller leaves, or cuts off
// after the first.
func sendEndless(w http.ResponseWriter, r *http.Request, short bool) {
	chunk := make([]byte, chunkBytes)
	for r.Context().Err() == nil {
		if _, err := w.Write(chunk); err != nil {
			return
		}
		if short {
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
