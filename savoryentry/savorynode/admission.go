package savorynode

// This file defines admission, a request that a contract admitted.

import (
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// chargeTokens is the number of tokens between two charges of a running answer.
const chargeTokens = 16

// admission is a request that a contract admitted. It reserves the tokens that
// the answer is expected to have; what the answer uses beyond is charged while
// it runs.
type admission struct {
	tables   *tables
	customer *savoryworld.Customer
	// admissionFraction is that of savorylimit.Fairness when the request came.
	admissionFraction float64
	// reserved is the number of answer tokens that were reserved, used that of
	// those that came.
	reserved int
	used     int
}

// admitContract admits a request with a prompt and an answer of at most
// maxTokens, both 0 for a plain service. The caller ends the admission.
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

// recordToken records one recordToken of the answer.
func (a *admission) recordToken() {
	a.used++
	if over := a.used - a.reserved; over > 0 && over%chargeTokens == 0 {
		a.tables.limits.with(func(l *limitState) { l.limiter.Charge(a.customer.Name, chargeTokens) })
	}
}

// end ends the request; whole says that its answer is whole.
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
