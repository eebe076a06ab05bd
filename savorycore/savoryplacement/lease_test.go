package savoryplacement

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryclock"
)

// Each event of testdata/tenure.txt leads to the action that its line states.
// An entry that orders without a lease, or pauses with one, fails here.
func TestLeaseScript(t *testing.T) {
	is := is.New(t)
	file, err := os.Open("testdata/tenure.txt")
	is.NoErr(err)
	defer file.Close()
	var lease OrdererLease
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		line, want, _ := strings.Cut(strings.TrimSpace(lines.Text()), " -> ")
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "case "):
			lease = OrdererLease{}
		default:
			got, err := runLeaseEvent(&lease, strings.Fields(line))
			if err != nil {
				t.Fatalf("tenure.txt:%d: %v", n, err)
			}
			if string(got) != want {
				t.Errorf("tenure.txt:%d: got action %s, want %s", n, got, want)
			}
		}
	}
	is.NoErr(lines.Err())
}

// runLeaseEvent applies one line of the script, split into words.
func runLeaseEvent(t *OrdererLease, words []string) (LeaseAction, error) {
	ms, err := strconv.Atoi(words[0])
	if err != nil {
		return "", err
	}
	now := time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond)
	w := Observation{UnreachableAge: 2 * time.Second}
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		v, _ := strconv.Atoi(value) // flags have no value
		switch name {
		case "age":
			w.ListAge = time.Duration(v) * time.Millisecond
		case "live":
			w.LiveEntries = v
		case "first":
			w.First = true
		case "storefirst":
			w.StoreFirst = true
		case "orderer":
			w.OtherOrderer = true
		default:
			return "", fmt.Errorf("unknown observation %q", word)
		}
	}
	switch words[1] {
	case "next":
		return t.Next(w, now), nil
	case "granted":
		t.Granted(LeaseTTL, now)
	case "lapsed":
		t.Expired()
	case "unanswered":
		return t.RenewalUnanswered(w, now), nil
	default:
		return "", fmt.Errorf("unknown event %q", words[1])
	}
	return "", nil
}

// Guards against a time of day that jumps back in the middle of a lease: an orderer that
// takes its lapsed lease for valid orders beside its successor.
func TestLeaseIgnoresClockThatJumpsBack(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	const seconds = -2400
	var lease OrdererLease
	lease.Granted(LeaseTTL, start)
	is.Equal(lease.Next(Observation{}, savoryclock.Jump(start.Add(LeaseTTL/10), seconds)), ActionOrder)
	is.Equal(lease.Next(Observation{}, savoryclock.Jump(start.Add(LeaseTTL/2), seconds)), ActionRenew)
	late := savoryclock.Jump(start.Add(LeaseTTL), seconds)
	is.Equal(lease.RenewalUnanswered(Observation{LiveEntries: 1}, late), ActionResign)
}

// Guards against an orderer that was suspended with its VM, or paused, for longer than its
// lease and then orders before it has renewed the lease. The steady clock stands still
// while a VM is suspended. A time of day that jumps forward looks the same; the orderer
// then renews and goes on.
func TestLeaseAfterSuspension(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	for _, seconds := range []int{3, 2400} {
		var lease OrdererLease
		lease.Granted(LeaseTTL, start)
		woken := savoryclock.Jump(start.Add(LeaseTTL/10), seconds)
		is.True(!lease.Valid(woken))
		is.Equal(lease.Next(Observation{}, woken), ActionRenew)
		is.Equal(lease.RenewalUnanswered(Observation{ListAge: time.Millisecond, UnreachableAge: time.Second, LiveEntries: 3}, woken), ActionNone)
		lease.Granted(LeaseTTL, woken)
		is.Equal(lease.Next(Observation{}, savoryclock.Jump(start.Add(LeaseTTL/5), seconds)), ActionOrder)
	}
	var lease OrdererLease
	lease.Granted(LeaseTTL, start)
	is.True(!lease.Valid(start.Add(LeaseTTL))) // paused: the steady clock went on
}
