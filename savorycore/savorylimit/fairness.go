package savorylimit

// This file defines Fairness, which says who is refused first when capacity is
// short.

const (
	// leastPatience is the least part of the bound on the first token that a
	// customer above its fair share is admitted up to.
	leastPatience = 0.4
	// fairRoom is the factor of its fair share up to which a customer counts as
	// within it.
	fairRoom = 1.5
)

// Fairness follows the requests in flight of each customer at one entry. The
// zero value is ready for use; it is not safe for concurrent use.
type Fairness struct {
	flights map[string]*customerFlights
	// total is the number of requests in flight, weight the sum of the weights
	// of customers that have any.
	total  int
	weight float64
}

type customerFlights struct {
	n      int
	weight float64
}

// Begin counts a request of a customer with a weight; 0 means 1.
func (f *Fairness) Begin(customer string, weight float64) {
	if f.flights == nil {
		f.flights = make(map[string]*customerFlights)
	}
	if weight == 0 {
		weight = 1
	}
	c := f.flights[customer]
	if c == nil {
		c = &customerFlights{weight: weight}
		f.flights[customer] = c
		f.weight += weight
	}
	c.n++
	f.total++
}

// End takes a request off the count.
func (f *Fairness) End(customer string) {
	c := f.flights[customer]
	if c == nil {
		return
	}
	c.n--
	f.total--
	if c.n == 0 {
		delete(f.flights, customer)
		f.weight -= c.weight
	}
}

// AdmissionFraction returns the part of the bound on the first token up to which a
// request of the customer is admitted: 1 within its fair share of the requests
// in flight, less above it. Refusing the large first keeps the queue short for
// the small.
func (f *Fairness) AdmissionFraction(customer string) float64 {
	c := f.flights[customer]
	if c == nil || f.total == 0 || f.weight <= 0 {
		return 1
	}
	fair := float64(f.total) * c.weight / f.weight
	over := float64(c.n) / (fairRoom * fair)
	if over <= 1 {
		return 1
	}
	return max(leastPatience, 1/over)
}
