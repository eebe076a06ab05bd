package savoryquarantine

// This file defines Preview, which decides on a request that is not sent.

import "time"

// Preview returns what Admit would return for a request that has not waited, by the last
// Update. It changes nothing. mayTry is as for Admit.
func (t *Tracker) Preview(p Prompt, mayTry bool, now time.Time) Admission {
	a := t.judge(p, 0, mayTry, now)
	if a.Decision != Send {
		return a
	}
	for _, part := range p.Parts {
		if t.blames[part] != nil {
			a.Trial, a.Part = true, part
		}
	}
	return a
}
