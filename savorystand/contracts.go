package main

// This file defines the measurement of two methods to charge answer tokens to a
// contract: all at admission, or while the answer is generated.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savoryclock"
)

const (
	// contractTokensPerSecond is the token rate of the measured contract.
	contractTokensPerSecond = 2000
	// contractPromptTokens is the length of each prompt, contractMaxAnswerTokens
	// the maximum answer length that each request sets and
	// contractMeanAnswerTokens the mean length of the answers that end early.
	contractPromptTokens     = 100
	contractMaxAnswerTokens  = 512
	contractMeanAnswerTokens = 80
	// contractTokenInterval is the time between two tokens of an answer.
	contractTokenInterval = 50 * time.Millisecond
	// contractLoadFactor is the offered load as a multiple of the contract's rate.
	contractLoadFactor = 2
	// contractDuration is the measured virtual time; contractWindow is the length
	// of the windows in which the peak use is searched.
	contractDuration = 120 * time.Second
	contractWindow   = 5 * time.Second
	// chargeIntervalTokens is the number of answer tokens beyond the reservation
	// between two charges.
	chargeIntervalTokens = 16
)

// contractRun is one measurement in virtual time.
type contractRun struct {
	// chargeWhileRunning reserves the expected answer length at admission and
	// charges tokens beyond it during the answer; false reserves the maximum.
	chargeWhileRunning bool
	clock              savoryclock.Clock
	rand               *rand.Rand
	limiter            savorylimit.Limiter
	customer           savoryworld.Customer
	startedAt          time.Time
	// usedPerSecond holds the tokens used in each second since startedAt.
	usedPerSecond []int
	refused       int
	requests      int
}

// measureContracts compares both methods for answers that end early and for answers
// of the maximum length.
func measureContracts(seed uint64) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CHARGED\tMEAN ANSWER\tCONTRACT USE\tPEAK USE IN 5 s\tREFUSED")
	for _, meanTokens := range []int{contractMeanAnswerTokens, contractMaxAnswerTokens} {
		for _, running := range []bool{false, true} {
			r := &contractRun{chargeWhileRunning: running, rand: rand.New(rand.NewPCG(seed, 5))}
			r.run(meanTokens)
			name := "at admission"
			if running {
				name = "while running"
			}
			fmt.Fprintf(w, "%s\t%d of %d\t%.3f\t%.3f\t%.3f\n", name, meanTokens, contractMaxAnswerTokens, r.meanUse(), r.peakUse(), float64(r.refused)/float64(r.requests))
		}
	}
	return w.Flush()
}

func (r *contractRun) run(meanTokens int) {
	r.clock.Now = time.Unix(1000, 0)
	r.startedAt = r.clock.Now
	r.limiter.Entry = "e"
	r.customer = savoryworld.Customer{Name: "c", Contract: savoryworld.Contract{TokensPerSecond: contractTokensPerSecond}}
	r.usedPerSecond = make([]int, int(contractDuration/time.Second)+1)
	rate := contractLoadFactor * contractTokensPerSecond / float64(contractPromptTokens+meanTokens)
	r.scheduleArrival(rate, meanTokens)
	r.clock.RunUntil(r.startedAt.Add(contractDuration))
}

func (r *contractRun) scheduleArrival(rate float64, meanTokens int) {
	gap := time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second))
	r.clock.After(gap, func() {
		length := min(contractMaxAnswerTokens, 1+r.rand.IntN(2*meanTokens))
		if meanTokens == contractMaxAnswerTokens {
			length = contractMaxAnswerTokens
		}
		r.request(length)
		r.scheduleArrival(rate, meanTokens)
	})
}

// request admits or refuses a request and schedules the answer's first token.
func (r *contractRun) request(length int) {
	r.requests++
	reserved := contractMaxAnswerTokens
	if r.chargeWhileRunning {
		reserved = r.limiter.ExpectedAnswerTokens("c", contractMaxAnswerTokens)
	}
	if r.limiter.Admit(&r.customer, contractPromptTokens+reserved, r.clock.Now) != nil {
		r.refused++
		return
	}
	r.recordUse(contractPromptTokens)
	r.scheduleToken(0, length, reserved)
}

// scheduleToken schedules the token at index. After the last token it charges the
// tokens that are not yet charged and releases the unused reservation.
func (r *contractRun) scheduleToken(index, length, reserved int) {
	r.clock.After(contractTokenInterval, func() {
		r.recordUse(1)
		index++
		if excess := index - reserved; r.chargeWhileRunning && excess > 0 && excess%chargeIntervalTokens == 0 {
			r.limiter.Charge("c", chargeIntervalTokens)
		}
		if index < length {
			r.scheduleToken(index, length, reserved)
			return
		}
		r.limiter.RecordAnswer("c", length)
		if excess := length - reserved; excess > 0 {
			r.limiter.Charge("c", excess%chargeIntervalTokens)
		}
		r.limiter.Done("c", max(0, reserved-length))
	})
}

func (r *contractRun) recordUse(tokens int) {
	r.usedPerSecond[int(r.clock.Now.Sub(r.startedAt)/time.Second)] += tokens
}

// meanUse returns the used fraction of the contract over the whole run.
func (r *contractRun) meanUse() float64 {
	total := 0
	for _, n := range r.usedPerSecond {
		total += n
	}
	return float64(total) / contractDuration.Seconds() / contractTokensPerSecond
}

// peakUse returns the highest used fraction of the contract in any window of
// contractWindow.
func (r *contractRun) peakUse() float64 {
	window := int(contractWindow / time.Second)
	peak := 0
	for i := range len(r.usedPerSecond) - window {
		sum := 0
		for _, n := range r.usedPerSecond[i : i+window] {
			sum += n
		}
		peak = max(peak, sum)
	}
	return float64(peak) / contractWindow.Seconds() / contractTokensPerSecond
}
