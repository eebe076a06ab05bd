package savorylimit

// This file defines Fairness, which says who is refused first when capacity is
// short.

const (
	// minAdmissionFraction is the least part of the bound on the first token that a
	// customer above its fair share is admitted up to.
	minAdmissionFraction = 0.4
	// fairShareFactor is the factor of its fair share up to which a customer counts as
	// within it.
	fairShareFactor = 1.5
)

// Fairness follows the requests in flight of each customer at one entry. The
// zero value is ready for use; it is not safe for concurrent use.
type Fairness struct {
	inFlight map[string]*customerLoad
	// totalRequests is the number of requests in flight, weight the sum of the weights
	// of customers that have any.
	totalRequests  int
	totalWeight float64
}

type customerLoad struct {
	requests      int
	weight float64
}

// Begin counts a request of a customer with a weight; 0 means 1.
func (f *Fairness) Begin(customer string, weight float64) {
	if f.inFlight == nil {
		f.inFlight = make(map[string]*customerLoad)
	}
	if weight == 0 {
		weight = 1
	}
	c := f.inFlight[customer]
	if c == nil {
		c = &customerLoad{weight: weight}
		f.inFlight[customer] = c
		f.totalWeight += weight
	}
	c.requests++
	f.totalRequests++
}

// End takes a request off the count.
func (f *Fairness) End(customer string) {
	c := f.inFlight[customer]
	if c == nil {
		return
	}
	c.requests--
	f.totalRequests--
	if c.requests == 0 {
		delete(f.inFlight, customer)
		f.totalWeight -= c.weight
	}
}

// AdmissionFraction returns the part of the bound on the first token up to which a
// request of the customer is admitted: 1 within its fair share of the requests
// in flight, less above it. Refusing the large first keeps the queue short for
// the small.
func (f *Fairness) AdmissionFraction(customer string) float64 {
	c := f.inFlight[customer]
	if c == nil || f.totalRequests == 0 || f.totalWeight <= 0 {
		return 1
	}
	fairShare := float64(f.totalRequests) * c.weight / f.totalWeight
	excess := float64(c.requests) / (fairShareFactor * fairShare)
	if excess <= 1 {
		return 1
	}
	return max(minAdmissionFraction, 1/excess)
}
