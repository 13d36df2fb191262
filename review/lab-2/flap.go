package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["quota-twice"] = quotaTwice }

// sweepTime is when hosts forget buckets that are of no use any more, after their start,
// and every sweepTime from then on.
const sweepTime = 30 * time.Second

// quotaTwice: the operator lowers the quota of two tenants and raises it again 3.5 s later,
// while they press.
func quotaTwice(record string) {
	const rate, burst, window = 10, 200, 5 * time.Second
	const lowRate, lowBurst = 4, 4
	const tenants = 2
	l := newLab(record, "zone-a", "zone-b", "zone-c", "zone-d")
	q := &quotaRun{lab: l, sent: map[string]time.Time{}, ran: map[string][]span{}}
	rules := []rule{{"r-read", "safe", "read.example", "/read/", "archive", "4000ms", 1}}
	key := func(n int) string { return fmt.Sprintf("key0000000000000000%d", n) }
	write := func(version, rate, burst int) {
		var all []tenant
		for n := range tenants {
			all = append(all, tenant{fmt.Sprintf("tenant-%d", n), []string{key(n)}, rate, burst})
		}
		l.store.put("op/config", config(version, all, rules))
		l.record("ack", "-", "version r%d: %d a second, burst %d", version, rate, burst)
	}
	write(11, rate, burst)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		l.startBackend(id, "archive", 60, q.answer)
	}
	for _, zone := range l.zones {
		l.addHost(zone).begin()
	}
	l.awaitReady(30 * time.Second)
	sweep := l.hosts[0].begun.Add(sweepTime)
	time.Sleep(time.Until(sweep.Add(-3500 * time.Millisecond))) // the buckets are full
	until := sweep.Add(3 * time.Second)
	var wg sync.WaitGroup
	for _, h := range l.hosts {
		for n := range 4 * tenants {
			wg.Go(func() { q.press(h, key(n%tenants), until) })
		}
	}
	time.Sleep(time.Until(sweep.Add(-3100 * time.Millisecond)))
	if l.trouble {
		write(12, lowRate, lowBurst)
	} else {
		write(12, rate, burst)
	}
	time.Sleep(time.Until(sweep.Add(400 * time.Millisecond)))
	write(13, rate, burst)
	wg.Wait()
	q.judge(rate, burst, window)
	l.end()
}
