package savorynode

// This file defines admission, the state of an admitted request.

import (
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// chargeTokens is the number of answer tokens beyond the reservation between
// two charges.
const chargeTokens = 16

// admission is a request that was admitted under its contract. It reserves
// the expected number of answer tokens. Tokens beyond the reservation are
// charged while the request runs.
type admission struct {
	tables   *tables
	customer *savoryworld.Customer
	// admissionFraction is the result of
	// savorylimit.Fairness.AdmissionFraction when the request was admitted.
	admissionFraction float64
	// reserved is the number of reserved answer tokens, used the number of
	// received ones.
	reserved int
	used     int
}

// admitContract admits a request with promptTokens and an answer of at most
// maxTokens, which are both 0 for a plain service. The caller must call end
// on the admission.
func (t *tables) admitContract(customer *savoryworld.Customer, promptTokens, maxTokens int, now time.Time) (*admission, error) {
	a := &admission{tables: t, customer: customer}
	var err error
	t.limits.with(func(l *limitState) {
		if maxTokens > 0 {
			a.reserved = l.limiter.ExpectedAnswerTokens(customer.Name, maxTokens)
		}
		if err = l.limiter.Admit(customer, promptTokens+a.reserved, now); err != nil {
			return
		}
		l.budget.RecordRequest(now)
		a.admissionFraction = l.fairness.AdmissionFraction(customer.Name)
		l.fairness.Begin(customer.Name, customer.Contract.Weight)
	})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// recordToken records one answer token.
func (a *admission) recordToken() {
	a.used++
	if over := a.used - a.reserved; over > 0 && over%chargeTokens == 0 {
		a.tables.limits.with(func(l *limitState) { l.limiter.Charge(a.customer.Name, chargeTokens) })
	}
}

// end ends the admission and returns unused tokens. The length of the answer
// is recorded only if the answer is complete.
func (a *admission) end(complete bool) {
	a.tables.limits.with(func(l *limitState) {
		if over := a.used - a.reserved; over > 0 {
			l.limiter.Charge(a.customer.Name, over%chargeTokens)
		}
		if complete && a.used > 0 {
			l.limiter.RecordAnswer(a.customer.Name, a.used)
		}
		l.limiter.Done(a.customer.Name, max(0, a.reserved-a.used))
		l.fairness.End(a.customer.Name)
	})
}
