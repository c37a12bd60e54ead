package limit_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/share"
)

// The load is that of customer A in docs/design/contention.md: 69 upstreams of which 0.3 fail,
// with 5 slots each, and 79 accounts, of which four send 0.3 of all requests. Requests that
// arrive between loadStart and loadStop are counted; each has ended by loadEnd.
const (
	loadGates    = 48
	loadAccounts = 79
	loadRate     = 0.47 // requests per millisecond
	loadStart    = 10 * clock.Second
	loadStop     = 30 * clock.Second
	loadEnd      = loadStop + loadDeadline
	loadDeadline = 6 * clock.Second
)

// method is a way to order the waiters of a gate.
type method struct {
	name                           string
	usesPriority, isFair, isSummed bool
}

type loadRequest struct {
	account, priority int
	startBy, deadline clock.Millis
	gates             []int // not asked yet
	waiting           map[int]bool
	hasStarted        bool
}

// loadRun is a run of the load in virtual time: a request claims slots at up to four gates at a
// time, in random order, until it has one or has asked all.
type loadRun struct {
	method       method
	random       *rand.Rand
	now          clock.Millis
	gates        []*limit.Slots
	shares       *share.Service
	requests     []*loadRequest
	ends         map[clock.Millis][]func()
	sent, served [loadAccounts]float64
	inTime       int
}

// newLoadRun runs the load with the first accounts at the factor of their usual load.
func newLoadRun(m method, accounts int, factor float64) *loadRun {
	s := &loadRun{method: m, random: rand.New(rand.NewPCG(7, 7)), shares: share.NewService(), ends: map[clock.Millis][]func(){}}
	for i := range uint64(loadGates) {
		s.gates = append(s.gates, limit.NewSlots(limit.SlotsConfig{Slots: 5, Queue: 15, Seed: i, FairShare: m.isFair}))
	}
	for s.now = 1; s.now < loadEnd; s.now++ {
		for _, end := range s.ends[s.now] {
			end()
		}
		for i, g := range s.gates {
			if s.now%20 == 0 {
				s.refuse(i, g.Expire(s.now))
			}
			if s.now%clock.Second == 0 {
				largest, rest := g.LargestUses(s.now, 8)
				s.shares.Update(s.now, strconv.Itoa(i), append(largest, share.Use{Used: rest}))
			}
		}
		usual := [loadAccounts]float64{0.12, 0.08, 0.06, 0.04}
		for a := range loadAccounts {
			rate := loadRate * max(usual[a], 0.7/(loadAccounts-4))
			if a < accounts {
				rate *= factor
			}
			if s.random.Float64() < rate {
				s.arrive(a)
			}
		}
	}
	return s
}

func (s *loadRun) arrive(account int) {
	r := &loadRequest{
		account: account, priority: []int{0, 0, 1, 1, 1, 1, 1, 2, 2, 2}[s.random.IntN(10)],
		startBy: s.now + 1700, deadline: s.now + loadDeadline, gates: s.random.Perm(loadGates)[:24], waiting: map[int]bool{},
	}
	s.requests = append(s.requests, r)
	if s.now >= loadStart && s.now < loadStop {
		s.sent[account]++
	}
	s.claim(uint64(len(s.requests) - 1))
}

func (s *loadRun) claim(ticket uint64) {
	r := s.requests[ticket]
	for !r.hasStarted && len(r.waiting) < 4 && len(r.gates) > 0 {
		i := r.gates[0]
		r.gates = r.gates[1:]
		q := limit.Request{Ticket: ticket, Deadline: r.deadline, Until: r.deadline - 300, Account: strconv.Itoa(r.account), StartBy: r.startBy}
		if s.method.usesPriority {
			q.Priority = r.priority
		}
		if s.method.isSummed {
			q.Weight = s.shares.Weight(s.now, q.Account, 1)
		}
		if got := s.gates[i].Acquire(s.now, q).Result; got == limit.Run {
			s.start(i, ticket)
		} else if got == limit.Wait {
			r.waiting[i] = true
			s.refuse(i, s.gates[i].Expire(s.now))
		}
	}
}

func (s *loadRun) refuse(gate int, tickets []uint64) {
	for _, ticket := range tickets {
		delete(s.requests[ticket].waiting, gate)
		s.claim(ticket)
	}
}

func (s *loadRun) start(gate int, ticket uint64) {
	r, g, end := s.requests[ticket], s.gates[gate], s.now+230+clock.Millis(s.random.IntN(150))
	r.hasStarted = true
	for other := range r.waiting {
		s.gates[other].Cancel(ticket)
	}
	if arrival := r.deadline - loadDeadline; arrival >= loadStart && arrival < loadStop {
		s.served[r.account]++
		if s.now <= r.startBy {
			s.inTime++
		}
	}
	g.BeginUse(s.now, strconv.Itoa(r.account))
	s.ends[end] = append(s.ends[end], func() {
		g.EndUse(s.now, strconv.Itoa(r.account))
		if next, ok := g.Release(s.now); ok {
			s.start(gate, next)
		}
		s.refuse(gate, g.Expire(s.now))
	})
}

// One account sends nine times its usual load, three send five times theirs, or all send 1.8
// times theirs. While one account exceeds its load, no other may lose more than 0.02 of its
// served share; first come and priority alone let all bear it.
func TestAccountOverItsShareBearsTheRefusals(t *testing.T) {
	loads := []struct {
		name     string
		accounts int
		factor   float64
	}{{"one account at nine times", 1, 9}, {"three accounts at five times", 3, 5}, {"all accounts at 1.8 times", loadAccounts, 1.8}}
	usual := newLoadRun(method{}, 0, 1)
	for _, m := range []method{
		{name: "first come, first served"},
		{name: "priority only", usesPriority: true},
		{name: "fair by gate alone", usesPriority: true, isFair: true},
		{name: "fair by service", usesPriority: true, isFair: true, isSummed: true},
	} {
		for i, l := range loads {
			s := newLoadRun(m, l.accounts, l.factor)
			loss, served, sent := 0.0, 0.0, 0.0
			for a := range loadAccounts {
				served, sent = served+s.served[a], sent+s.sent[a]
				if a >= l.accounts {
					loss = max(loss, usual.served[a]/usual.sent[a]-s.served[a]/s.sent[a])
				}
			}
			t.Logf("%s, %s: largest loss of another account %.3f, served %.3f, within target %.3f", m.name, l.name, loss, served/sent, float64(s.inTime)/sent)
			if i == 0 && !m.isFair && loss < 0.1 {
				t.Errorf("%s: got a loss of %.3f, want a load that shows the fault", m.name, loss)
			}
			if i == 0 && m.isSummed && loss > 0.02 {
				t.Errorf("%s: got a loss of %.3f, want at most 0.02", m.name, loss)
			}
		}
	}
}
