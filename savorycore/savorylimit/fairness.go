package savorylimit

// This file defines Fairness, which decides which customers are refused first
// when capacity is short.

const (
	// minAdmissionFraction is the minimum fraction of the bound on the first
	// token for a customer above its fair share.
	minAdmissionFraction = 0.4
	// fairShareFactor is the multiple of its fair share up to which a customer
	// counts as within it.
	fairShareFactor = 1.5
)

// Fairness counts the requests in flight of each customer at one entry. The
// zero value is ready for use; it is not safe for concurrent use.
type Fairness struct {
	inFlight map[string]*customerLoad
	// totalRequests is the number of requests in flight. totalWeight is the sum
	// of the weights of the customers with requests in flight.
	totalRequests int
	totalWeight   float64
}

// customerLoad is the number of requests in flight and the weight of one
// customer.
type customerLoad struct {
	requests int
	weight   float64
}

// Begin counts a request of a customer. A weight of 0 means 1. The weight is
// ignored if the customer already has requests in flight.
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

// End removes a request of the customer from the count. It has no effect for a
// customer without requests in flight.
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

// AdmissionFraction returns the fraction of the bound on the first token up to
// which a request of the customer is admitted: 1 within its fair share of the
// requests in flight, less above it. Customers with the most requests for their
// weight are refused first, so that the queue stays short for the others.
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
