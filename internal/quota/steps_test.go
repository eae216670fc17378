package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// inFlight is a message of the random steps: a request to the sender of a transfer or, if
// answer is true, its answer.
type inFlight struct {
	to, from       int
	answer         bool
	request        TransferRequest
	granted, spare float64
	incarnation    int
}

// stepDomains is the number of failure domains of the random steps.
const stepDomains = 6

// stepTimeout is the time-out of a transfer.
const stepTimeout = 250 * ms

// sentRequest is a request whose time-out has not ended.
type sentRequest struct {
	from, incarnation int
	id                uint64
	deadline          time.Duration
}

// randomSteps runs real accounts of one tenant through random steps and returns the times at
// which operations were let through. Messages are lost, duplicated and delayed at random,
// accounts crash and start anew, and at intervals a second owner acts in one domain.
func randomSteps(seed uint64, limit Limit) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 2))
	share := Share{Domains: stepDomains, Slack: 20}
	now := time.Duration(0)
	domains := func(own int) []string {
		var out []string
		for i := range stepDomains {
			if i != own {
				out = append(out, string(rune('a'+i)))
			}
		}
		return out
	}
	var accounts [stepDomains]*Account
	var incarnations [stepDomains]int
	start := func(i int) {
		incarnations[i]++
		accounts[i] = NewAccount(now, share, limit, domains(i), uint64(incarnations[i])<<32)
	}
	for i := range accounts {
		start(i)
	}
	var second *Account // of domain 0
	var secondUntil, crashAt time.Duration
	var messages []inFlight
	var sent []sentRequest
	var allowed []time.Duration
	advance := func(i int) {
		for _, r := range accounts[i].Transfers(now) {
			messages = append(messages, inFlight{to: int(r.Domain[0] - 'a'), from: i, request: r, incarnation: incarnations[i]})
			sent = append(sent, sentRequest{i, incarnations[i], r.ID, now + stepTimeout})
		}
		for _, d := range accounts[i].Decisions() {
			for range d.Granted {
				allowed = append(allowed, now)
			}
		}
	}
	const end = 30 * time.Second
	for now < end {
		now += time.Duration(random.IntN(4)) * ms
		if now > 15*time.Second && limit.Version == 1 {
			limit = Limit{Rate: limit.Rate / 5, Burst: limit.Burst / 5, Version: 2}
			for _, a := range accounts {
				a.SetLimit(now, limit)
			}
		}
		sent = slices.DeleteFunc(sent, func(s sentRequest) bool {
			if now < s.deadline {
				return false
			}
			if s.incarnation == incarnations[s.from] {
				accounts[s.from].Fail(now, s.id)
				advance(s.from)
			}
			return true
		})
		if second == nil && random.IntN(8000) == 0 {
			second, secondUntil = NewAccount(now, share, limit, nil, 0), now+time.Second
		}
		if second != nil && now > secondUntil {
			second = nil
		}
		if crashAt < now && random.IntN(2000) == 0 {
			start(random.IntN(stepDomains))
			crashAt = now + time.Second
		}
		// Pauses let the accounts fill, so that the windows after them begin with full ones.
		active := int(now/(4*time.Second))%2 == 1
		switch random.IntN(6) {
		case 0, 1:
			if !active {
				continue
			}
			i := random.IntN(stepDomains)
			if i == 0 && second != nil && random.IntN(2) == 0 {
				second.SetLimit(now, limit)
				second.Arrive(now, 1+random.IntN(12))
				second.Transfers(now)
				for _, d := range second.Decisions() {
					for range d.Granted {
						allowed = append(allowed, now)
					}
				}
				continue
			}
			accounts[i].Arrive(now, 1+random.IntN(12))
			advance(i)
		default:
			if len(messages) == 0 {
				continue
			}
			i := random.IntN(len(messages))
			m := messages[i]
			if random.IntN(20) > 0 { // otherwise duplicated
				messages = slices.Delete(messages, i, i+1)
			}
			if random.IntN(30) == 0 { // lost
				continue
			}
			if !m.answer {
				granted, spare := accounts[m.to].Grant(now, string(rune('a'+m.from)), m.request.ID, m.request.Tokens, m.request.Urgent)
				messages = append(messages, inFlight{to: m.from, from: m.to, answer: true, request: m.request, granted: granted, spare: spare, incarnation: m.incarnation})
				continue
			}
			// An answer to an earlier process is not delivered: its connection has ended.
			if m.incarnation == incarnations[m.to] {
				accounts[m.to].Receive(now, m.request.ID, m.granted, m.spare)
				advance(m.to)
			}
		}
	}
	return allowed
}

func TestRandomSteps(t *testing.T) {
	Convey("In no random order of arrivals, losses, duplicates, delays, crashes, second owners and a lower limit do real accounts let more through than requirement 6 allows", t, func() {
		const window = 5 * time.Second
		for _, limit := range []Limit{{Rate: 50, Burst: 50, Version: 1}, {Rate: 300, Burst: 30, Version: 1}, {Rate: 5, Burst: 0, Version: 1}} {
			worst := 0
			bound := (limit.Rate*window.Seconds()+limit.Burst)*1.1 + 20
			for seed := range uint64(40) {
				times := randomSteps(seed, limit)
				first := 0
				for i, at := range times {
					for at-times[first] > window {
						first++
					}
					worst = max(worst, i-first+1)
				}
			}
			t.Logf("rate %.0f, burst %.0f: at most %d in a window, bound %.1f", limit.Rate, limit.Burst, worst, bound)
			So(float64(worst), ShouldBeLessThanOrEqualTo, bound)
			So(float64(worst), ShouldBeGreaterThan, limit.Rate*window.Seconds()*0.6)
		}
	})
}
