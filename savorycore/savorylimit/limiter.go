// Package savorylimit limits the rates and the concurrency of customers across
// all entries, and the retries of an entry.
//
// A Limiter makes no store call for a request: each entry holds a share of each
// contract. Entries announce their demand for a customer to one another; an
// entry's share is its fraction of the total announced demand. An entry applies
// its own announcement only after SettlingDelay, when its peers have received
// it, so that shares that rise at the same time do not add up to more than the
// contract. A listed entry that sends no announcements keeps the share of its
// last announcement, so a network partition between entries does not double a
// contract.
//
// The package does no I/O and reads no clock: callers pass the time. A Limiter
// is not safe for concurrent use.
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
	// burstWindow is the duration of traffic at the full rate that a bucket
	// holds.
	burstWindow = time.Second
	// demandHalfLife is the half-life of the exponentially decaying average of
	// the demand.
	demandHalfLife = time.Second
	// SettlingDelay is the delay after which an entry applies its own
	// announcement. It must exceed the time in which announcements reach the
	// peers.
	SettlingDelay = 1500 * time.Millisecond
	// reserveFraction is the fraction of a contract that is divided evenly
	// between all entries at any demand, so that the first request at an entry
	// finds a share.
	reserveFraction = 0.1
	// maxUnsettledShares is the number of even shares that an entry may use on
	// demand that its peers have not received yet.
	maxUnsettledShares = 2
	// MaxExchangeEntries is the maximum number of entries that exchange their
	// demands. In a larger fleet each entry receives the announcements of only
	// some of the others, so a contract is divided evenly.
	MaxExchangeEntries = 9
	// minRetryAfter is the minimum Retry-After of a refusal.
	minRetryAfter = 100 * time.Millisecond
	// concurrencyRetryAfter is the Retry-After of a refusal for too many
	// requests in flight.
	concurrencyRetryAfter = 500 * time.Millisecond
	// answerWeight is the weight of a new answer in the moving average of the
	// answer lengths.
	answerWeight = 0.1
	// minAnnouncedRate is the demand, in requests per second, below which a
	// customer is not announced.
	minAnnouncedRate = 0.01
)

// Demand is the demand of one customer at one entry.
type Demand struct {
	Customer string
	// Rate is the rate of arriving requests per second, admitted or not.
	Rate float64
}

// Limiter enforces the contracts of all customers at one entry. Its exported
// fields are set before its first use.
type Limiter struct {
	// Entry is the name of this entry.
	Entry string

	customers map[string]*usage
	// entries is the set of entries on the platform's list, and this entry.
	entries map[string]bool
	// demands holds the last announcement of each other entry: requests per
	// second by customer.
	demands map[string]map[string]float64
}

// usage is the state of one customer at this entry.
type usage struct {
	requests bucket
	tokens   bucket
	inFlight int

	// meanAnswerTokens is the moving average of the answer lengths in tokens; 0
	// before the first answer.
	meanAnswerTokens float64

	// demand is the average demand, in requests per second, at demandAt.
	demand   float64
	demandAt time.Time

	// announced is the demand of this entry that its share is computed from.
	// pending is the last announced demand; it replaces announced at settledAt.
	announced float64
	pending   float64
	settledAt time.Time
}

// SetEntries sets the entries on the platform's list. This entry always counts.
// Announcements of entries that are no longer listed are dropped.
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

// SetPeerDemands replaces the announced demands of another entry. Rates that
// are not positive and finite are ignored.
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

// AnnounceDemands returns the demands of this entry at now, to be sent to the
// peers. In a fleet above MaxExchangeEntries it returns nil.
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

// Admit decides at now on a request that needs the given number of tokens for
// prompt and answer, 0 for a plain service. If Admit returns nil, the caller
// must call Done when the request ends. The error is a *savoryverdict.Error
// with status 429 and the verdict NotRun.
func (l *Limiter) Admit(c *savoryworld.Customer, tokens int, now time.Time) error {
	u := l.usage(c.Name)
	u.recordArrival(now)
	contract := c.Contract
	share := l.Share(c.Name, now)
	if limit := l.concurrencyLimit(contract, share); limit > 0 && u.inFlight >= limit {
		return overContract("Concurrency", concurrencyRetryAfter, "the customer has %d requests in flight at this entry", u.inFlight)
	}
	requestRate := contract.RequestsPerSecond * share
	tokenRate := contract.TokensPerSecond * share
	requestWait := u.requests.waitFor(requestRate, 1, now)
	tokenWait := u.tokens.waitFor(tokenRate, float64(tokens), now)
	if requestWait > 0 {
		return overContract("RequestsPerSecond", requestWait, "the request rate of the contract is exceeded")
	}
	if tokenWait > 0 {
		return overContract("TokensPerSecond", tokenWait, "the token rate of the contract is exceeded")
	}
	u.requests.take(requestRate, 1)
	u.tokens.take(tokenRate, float64(tokens))
	u.inFlight++
	return nil
}

// Charge deducts tokens that a running request used beyond its reservation. The
// running request continues; later requests of the customer wait until the
// bucket has refilled.
func (l *Limiter) Charge(customer string, tokens int) {
	l.usage(customer).tokens.level -= float64(tokens)
}

// Done ends an admitted request and returns its unused reserved tokens to the
// bucket.
func (l *Limiter) Done(customer string, unused int) {
	u := l.usage(customer)
	u.inFlight = max(0, u.inFlight-1)
	u.tokens.level += float64(unused)
}

// ExpectedAnswerTokens returns the expected length of an answer of at most
// maxTokens tokens: the average of the customer's recent answers at this entry,
// or maxTokens before the first answer.
func (l *Limiter) ExpectedAnswerTokens(customer string, maxTokens int) int {
	if mean := l.usage(customer).meanAnswerTokens; mean > 0 {
		return min(maxTokens, int(math.Ceil(mean)))
	}
	return maxTokens
}

// RecordAnswer records the length of a complete answer.
func (l *Limiter) RecordAnswer(customer string, tokens int) {
	u := l.usage(customer)
	if u.meanAnswerTokens == 0 {
		u.meanAnswerTokens = float64(tokens)
	}
	u.meanAnswerTokens += answerWeight * (float64(tokens) - u.meanAnswerTokens)
}

// InFlight returns the number of the customer's requests in flight at this
// entry.
func (l *Limiter) InFlight(customer string) int {
	if u := l.customers[customer]; u != nil {
		return u.inFlight
	}
	return 0
}

// Share returns the fraction of the customer's contract that this entry may use
// at now, above 0 and at most 1.
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
	if current <= steadyFactor*u.announced {
		return settledShare
	}
	// Demand that the peers have not received yet counts up to two even shares,
	// so that all entries together stay below twice the contract meanwhile.
	return max(settledShare, min(maxUnsettledShares/n, current/(others+current)))
}

// usage returns the state of a customer and creates it if it is absent.
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

// concurrencyLimit returns this entry's share of the bound on requests in
// flight, at least 1; 0 means no bound.
func (l *Limiter) concurrencyLimit(contract savoryworld.Contract, share float64) int {
	if contract.Concurrency == 0 {
		return 0
	}
	return max(1, int(math.Round(float64(contract.Concurrency)*share)))
}

// settle applies the pending announcement once its settling delay is over.
func (u *usage) settle(now time.Time) {
	if !u.settledAt.IsZero() && !now.Before(u.settledAt) {
		u.announced = u.pending
	}
}

// demandPerRequest is what one request adds to the average demand, in requests per second.
var demandPerRequest = math.Ln2 / demandHalfLife.Seconds()

// steadyFactor is the multiple of the announced demand up to which a demand counts as
// steady: the average is read before a request for the announcement, and after one for an
// admission. It covers that request from 14 requests per second on.
const steadyFactor = 1.05

// recordArrival adds an arriving request to the average demand.
func (u *usage) recordArrival(now time.Time) {
	u.demand = u.demandRate(now) + demandPerRequest
	u.demandAt = now
}

// demandRate returns the average demand at now in requests per second.
func (u *usage) demandRate(now time.Time) float64 {
	if u.demandAt.IsZero() {
		return 0
	}
	return u.demand * math.Exp2(-now.Sub(u.demandAt).Seconds()/demandHalfLife.Seconds())
}

// waitFor refills the bucket and returns the time until it holds amount at
// rate. A rate of 0 means no bound.
func (b *bucket) waitFor(rate, amount float64, now time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	// The bucket holds at least one whole request: otherwise an entry with a
	// small share would never admit a request.
	b.refill(rate, max(rate*burstWindow.Seconds(), amount, 1), now)
	return b.wait(rate, amount)
}

// take deducts amount from the level unless rate is 0, which means no bound.
func (b *bucket) take(rate, amount float64) {
	if rate > 0 {
		b.level -= amount
	}
}

// overContract returns the refusal for the named field of the contract.
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
