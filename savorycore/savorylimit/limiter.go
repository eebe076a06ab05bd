// Package savorylimit enforces customers' contracts over all entries together.
//
// No store call is made for a request: each entry holds a share of each
// contract. Entries announce their demand for a customer to one another; an
// entry's share is its announced part of the announced total. An announcement
// counts at its own entry only after a settling time, when the others have
// heard it, so that shares that are raised at once do not add up to more than
// the contract. An entry that is listed by the platform but not heard from
// keeps the share that it last announced: a cut between entries does not
// double a contract.
//
// The package decides only: it does no I/O and reads no clock. A Limiter is
// not safe for concurrent use.
package savorylimit

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// burstWindow is the length of traffic at the full rate that a bucket holds.
	burstWindow = time.Second
	// demandHalfLife is the half-life of the measured demand.
	demandHalfLife = time.Second
	// SettlingDelay is the time after which an entry's own announcement counts; it
	// must exceed the time that announcements take to reach the others.
	SettlingDelay = 1500 * time.Millisecond
	// reserveFraction is the part of a contract that is divided evenly between all
	// entries whatever the demand, so that a first request finds a share.
	reserveFraction = 0.1
	// maxUnsettledShares is the number of even shares up to which demand counts before
	// the others have heard of it.
	maxUnsettledShares = 2
	// MaxExchangeEntries is the most entries among which demand is exchanged. In a
	// larger fleet each entry hears of a part of the others only, so a contract
	// is divided evenly.
	MaxExchangeEntries = 9
	// minRetryAfter bounds the Retry-After of a refusal from below.
	minRetryAfter = 100 * time.Millisecond
	// concurrencyRetryAfter is the Retry-After when too many requests are in flight.
	concurrencyRetryAfter = 500 * time.Millisecond
	// answerWeight is the weight of one answer in the mean length.
	answerWeight = 0.1
	// minAnnouncedRate is the demand, in requests a second, below which a customer
	// is not announced.
	minAnnouncedRate = 0.01
)

// Demand is one entry's demand for one customer.
type Demand struct {
	Customer string
	// Rate is the rate of requests that arrived, admitted or not, per second.
	Rate float64
}

// Limiter is one entry's part in all contracts. Its exported fields are set
// before its first use.
type Limiter struct {
	// Entry is the entry's own name.
	Entry string

	customers map[string]*usage
	// entries is the set of entries that the platform lists.
	entries map[string]bool
	// demands holds the last announcement of each other entry.
	demands map[string]map[string]float64
}

// usage is what this entry knows of one customer.
type usage struct {
	requests bucket
	tokens   bucket
	inFlight int

	// meanAnswerTokens is the mean length of recent answers in tokens; 0 before the
	// first.
	meanAnswerTokens float64

	demand   float64
	demandAt time.Time

	// announced is the own demand that counts; pending replaces it at
	// settledAt.
	announced float64
	pending   float64
	settledAt time.Time
}

// SetEntries tells which entries the platform lists. This entry counts whether
// listed or not. What an entry that is no longer listed announced is dropped.
func (l *Limiter) SetEntries(names []string) {
	l.entries = map[string]bool{l.Entry: true}
	for _, name := range names {
		l.entries[name] = true
	}
	for name := range l.demands {
		if !l.entries[name] {
			delete(l.demands, name)
		}
	}
}

// SetPeerDemands takes the announcement of another entry. It replaces the one before.
func (l *Limiter) SetPeerDemands(entry string, demands []Demand) {
	if entry == l.Entry {
		return
	}
	if l.demands == nil {
		l.demands = make(map[string]map[string]float64)
	}
	rates := make(map[string]float64, len(demands))
	for _, d := range demands {
		if d.Rate > 0 && !math.IsInf(d.Rate, 0) {
			rates[d.Customer] = d.Rate
		}
	}
	l.demands[entry] = rates
}

// AnnounceDemands returns this entry's demands at now, to be sent to the others. In a
// fleet above MaxExchange it is empty.
func (l *Limiter) AnnounceDemands(now time.Time) []Demand {
	if len(l.entries) > MaxExchangeEntries {
		return nil
	}
	var demands []Demand
	for name, u := range l.customers {
		u.settle(now)
		rate := u.demandRate(now)
		if rate < minAnnouncedRate {
			rate = 0
		}
		if u.pending != rate {
			u.pending = rate
			if u.settledAt.Before(now) {
				u.settledAt = now.Add(SettlingDelay)
			}
		}
		if rate > 0 {
			demands = append(demands, Demand{Customer: name, Rate: rate})
		}
		if rate == 0 && u.inFlight == 0 && u.announced == 0 {
			delete(l.customers, name)
		}
	}
	return demands
}

// Admit decides on a request that needs tokens (prompt and answer; 0 for a
// plain service) at now. If it is admitted the caller must call Done. The
// error is a 429 with the verdict NotRun.
func (l *Limiter) Admit(c *savoryworld.Customer, tokens int, now time.Time) error {
	u := l.usage(c.Name)
	u.recordArrival(now)
	contract := c.Contract
	share := l.Share(c.Name, now)
	if limit := l.concurrencyLimit(contract, share); limit > 0 && u.inFlight >= limit {
		return overContract("Concurrency", concurrencyRetryAfter, "%d requests are in flight", u.inFlight)
	}
	requestRate := contract.RequestsPerSecond * share
	tokenRate := contract.TokensPerSecond * share
	requestWait := u.requests.waitFor(requestRate, 1, now)
	tokenWait := u.tokens.waitFor(tokenRate, float64(tokens), now)
	if requestWait > 0 {
		return overContract("RequestsPerSecond", requestWait, "the rate of requests is used up")
	}
	if tokenWait > 0 {
		return overContract("TokensPerSecond", tokenWait, "the rate of tokens is used up")
	}
	u.requests.take(requestRate, 1)
	u.tokens.take(tokenRate, float64(tokens))
	u.inFlight++
	return nil
}

// Charge takes tokens that a running request used beyond what it reserved. The
// customer's later requests wait until they are paid for; the running one is
// not cut off.
func (l *Limiter) Charge(customer string, tokens int) {
	l.usage(customer).tokens.level -= float64(tokens)
}

// Done ends an admitted request; tokens that were reserved but not used go
// back.
func (l *Limiter) Done(customer string, unused int) {
	u := l.usage(customer)
	u.inFlight = max(0, u.inFlight-1)
	u.tokens.level += float64(unused)
}

// ExpectedAnswerTokens returns how many tokens an answer of at most most tokens is
// expected to have, by the customer's recent answers at this entry.
func (l *Limiter) ExpectedAnswerTokens(customer string, maxTokens int) int {
	if mean := l.usage(customer).meanAnswerTokens; mean > 0 {
		return min(maxTokens, int(math.Ceil(mean)))
	}
	return maxTokens
}

// RecordAnswer records the length of a whole answer.
func (l *Limiter) RecordAnswer(customer string, tokens int) {
	u := l.usage(customer)
	if u.meanAnswerTokens == 0 {
		u.meanAnswerTokens = float64(tokens)
	}
	u.meanAnswerTokens += answerWeight * (float64(tokens) - u.meanAnswerTokens)
}

// InFlight returns the number of the customer's requests at this entry.
func (l *Limiter) InFlight(customer string) int {
	if u := l.customers[customer]; u != nil {
		return u.inFlight
	}
	return 0
}

// Share returns this entry's part of the customer's contract at now, above 0
// and at most 1.
func (l *Limiter) Share(customer string, now time.Time) float64 {
	n := float64(max(len(l.entries), 1))
	if len(l.entries) > MaxExchangeEntries {
		return 1 / n
	}
	u := l.usage(customer)
	u.settle(now)
	others := 0.0
	for _, rates := range l.demands {
		others += rates[customer]
	}
	if others+u.announced <= 0 {
		return 1 / n
	}
	settledShare := reserveFraction/n + (1-reserveFraction)*u.announced/(others+u.announced)
	current := u.demandRate(now)
	if current <= u.announced {
		return settledShare
	}
	// Demand that the others have not heard of counts up to twice an even
	// share, so that all entries together stay below two contracts meanwhile.
	return max(settledShare, min(maxUnsettledShares/n, current/(others+current)))
}

func (l *Limiter) usage(customer string) *usage {
	if l.customers == nil {
		l.customers = make(map[string]*usage)
	}
	u := l.customers[customer]
	if u == nil {
		u = new(usage)
		l.customers[customer] = u
	}
	return u
}

// concurrencyLimit returns this entry's part of the bound on requests in flight, at
// least 1; 0 means no bound.
func (l *Limiter) concurrencyLimit(contract savoryworld.Contract, share float64) int {
	if contract.Concurrency == 0 {
		return 0
	}
	return max(1, int(math.Round(float64(contract.Concurrency)*share)))
}

// settle lets the own announcement count once the others have heard it.
func (u *usage) settle(now time.Time) {
	if !u.settledAt.IsZero() && !now.Before(u.settledAt) {
		u.announced = u.pending
	}
}

func (u *usage) recordArrival(now time.Time) {
	u.demand = u.demandRate(now) + math.Ln2/demandHalfLife.Seconds()
	u.demandAt = now
}

// demandRate returns the measured demand in requests per second.
func (u *usage) demandRate(now time.Time) float64 {
	if u.demandAt.IsZero() {
		return 0
	}
	return u.demand * math.Exp2(-now.Sub(u.demandAt).Seconds()/demandHalfLife.Seconds())
}

// waitFor returns how long the request must wait for amount at rate.
func (b *bucket) waitFor(rate, amount float64, now time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	// A bucket always holds one whole request, or no share however small would
	// ever admit one.
	b.refill(rate, max(rate*burstWindow.Seconds(), amount, 1), now)
	return b.wait(rate, amount)
}

func (b *bucket) take(rate, amount float64) {
	if rate > 0 {
		b.level -= amount
	}
}

func overContract(field string, retryAfter time.Duration, format string, args ...any) error {
	return &savoryverdict.Error{
		Verdict:    savoryverdict.NotRun,
		Status:     http.StatusTooManyRequests,
		Code:       "OverContract",
		Field:      "Contract." + field,
		Message:    fmt.Sprintf(format, args...),
		RetryAfter: max(retryAfter, minRetryAfter),
	}
}
