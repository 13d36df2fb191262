package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// gray is a service at little traffic: many hosts, of which each sees a server
// only now and then. Every period some servers turn bad at random: they break
// most of their requests until their next period. Signs reach all hosts after a
// moment, and each request may run only once.
type gray struct {
	agenda
	rnd     *rand.Rand
	pools   []*Pool
	ids     []model.ServerID
	bad     map[model.ServerID]bool
	lastBad map[model.ServerID]model.Instant
	// lastAsked is when each server last got a request.
	lastAsked map[model.ServerID]model.Instant
	refused   float64 // share of the requests that are refused for other reasons
	sent      int
	lost      int
	episodes  int
}

const (
	grayHosts   = 40
	grayServers = 18
	grayRate    = 70.0 // requests a second
	grayPeriod  = 12 * time.Second
	grayShare   = 0.3
	grayFails   = 0.75
	grayWork    = 230 * time.Millisecond
	signDelay   = 8 * time.Millisecond
)

func newGray(seed uint64) *gray {
	g := &gray{
		rnd:       rand.New(rand.NewPCG(seed, 5)),
		bad:       make(map[model.ServerID]bool),
		lastBad:   make(map[model.ServerID]model.Instant),
		lastAsked: make(map[model.ServerID]model.Instant),
	}
	var members []Member
	for i := range grayServers {
		id := model.ServerID(fmt.Sprintf("s%d", i))
		g.ids = append(g.ids, id)
		members = append(members, Member{ID: id, ColdSince: model.Never})
		g.lastBad[id] = -1 << 62
		g.after(time.Duration(g.rnd.Int64N(int64(grayPeriod))), func() { g.turn(id) })
	}
	for range grayHosts {
		p := NewPool()
		p.Configure(0, Limits{Slots: 3, Concurrency: 256, Queue: 64}, members)
		g.pools = append(g.pools, p)
	}
	g.poisson(g.rnd, grayRate, g.request)
	return g
}

// turn begins a server's next period.
func (g *gray) turn(id model.ServerID) {
	wasBad := g.bad[id]
	g.bad[id] = g.rnd.Float64() < grayShare
	if g.bad[id] && !wasBad {
		g.episodes++
	}
	g.after(grayPeriod, func() { g.turn(id) })
}

func (g *gray) request() {
	host := g.rnd.IntN(grayHosts)
	pool := g.pools[host]
	if g.rnd.Float64() < g.refused {
		pool.CountEnd(g.now, false, 1)
		return
	}
	id, ok := pool.Take(g.now, g.rnd, Demand{})
	if !ok {
		return
	}
	trust := pool.Trust(g.now, id)
	g.sent++
	g.lastAsked[id] = g.now
	if g.bad[id] && g.rnd.Float64() < grayFails {
		g.lost++
		g.lastBad[id] = g.now
		g.end(host, id, time.Millisecond, model.SignBroken, trust)
		return
	}
	g.end(host, id, exponential(g.rnd, grayWork), model.SignGood, trust)
}

// end ends a request after some time and tells all hosts what it says.
func (g *gray) end(host int, id model.ServerID, held time.Duration, sign model.Sign, trust float64) {
	g.after(held, func() {
		pool := g.pools[host]
		pool.Release(id, held)
		pool.CountEnd(g.now, sign == model.SignGood, trust)
		if !pool.Observe(g.now, id, sign) {
			return
		}
		g.after(signDelay, func() {
			for i, other := range g.pools {
				if i != host {
					other.Hear(g.now, id, sign)
				}
			}
		})
	})
}

// TestGrayServersLoseFew guards against requests that are lost again and again to
// servers that are known to fail. The aim is 1.3 lost requests for each time that
// a server turns bad.
func TestGrayServersLoseFew(t *testing.T) {
	lost, episodes := 0, 0
	for seed := range uint64(5) {
		g := newGray(seed)
		g.run(20 * time.Second)
		g.lost, g.episodes = 0, 0
		g.run(200 * time.Second)
		lost += g.lost
		episodes += g.episodes
	}
	perEpisode := float64(lost) / float64(episodes)
	t.Logf("%d lost in %d episodes: %.2f each", lost, episodes, perEpisode)
	qt.Check(t, perEpisode <= 1.3, qt.IsTrue)
}

// TestShortServiceUsesRecovered guards against sound servers that get nothing
// while the service refuses requests. A server is sound again two seconds after
// its last failure; in any two seconds seven in ten of the sound servers of a part
// of the fleet have to get work.
func TestShortServiceUsesRecovered(t *testing.T) {
	const floor, window = 0.7, 2 * time.Second
	starved, windows := 0, 0
	for seed := range uint64(5) {
		g := newGray(seed)
		g.refused = 0.3
		for at := 20 * time.Second; at < 200*time.Second; at += 500 * time.Millisecond {
			g.run(at)
			sound, used := 0, 0
			for _, id := range g.ids[:grayServers/2] {
				if g.now.Sub(g.lastBad[id]) < 2*window {
					continue
				}
				sound++
				if g.now.Sub(g.lastAsked[id]) < window {
					used++
				}
			}
			windows++
			if float64(used) < floor*float64(sound) {
				starved++
			}
		}
	}
	t.Logf("%d of %d windows", starved, windows)
	qt.Check(t, float64(starved) <= 0.01*float64(windows), qt.IsTrue)
}
