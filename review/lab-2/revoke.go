package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["restore-revoke"] = restoreRevoke }

// revokeBound is the bound `revoke` of the sites.
const revokeBound = 5 * time.Second

// restoreRevoke: a key is taken away; a drill brings the store back from a copy that
// still has it; a host that was killed starts before the operator has written the
// configuration again. This is done with four keys, one after the other. Each zone has one
// host, so that the platform sends it clients whether it is ready or not.
func restoreRevoke(record string) {
	const keptKey = "keptkey0000000000001"
	keys := []string{"takenkey000000000001", "takenkey000000000002", "takenkey000000000003", "takenkey000000000004"}
	l := newLab(record, "zone-a", "zone-b", "zone-c")
	rules := []rule{{"r-read", "safe", "read.example", "/read/", "archive", "4000ms", 2}}
	// without is the configuration that has taken a number of keys away.
	without := func(taken int) map[string]any {
		return config(11+taken, []tenant{{"tenant-1", append([]string{keptKey}, keys[taken:]...), 0, 0}}, rules)
	}
	l.store.put("op/config", without(0))
	var servers []*backend
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		servers = append(servers, l.startBackend(id, "archive", 6, work(10*time.Millisecond)))
	}
	for _, zone := range l.zones {
		l.addHost(zone).begin()
	}
	l.awaitReady(30 * time.Second)
	time.Sleep(4 * time.Second)
	for n, key := range keys {
		time.Sleep(4 * time.Second)
		l.drill(l.hosts[n%len(l.hosts)], servers, key, without(n+1))
		for _, h := range l.hosts {
			if r := l.get(h, keptKey); r.status != 200 {
				l.unable("%s answers %d to the key that was kept", h.name, r.status)
			}
		}
	}
	l.end()
}

func (l *lab) get(h *host, key string) result {
	return l.send(h, request{id: newID(), method: "GET", host: "read.example", path: "/read/1", key: key, deadline: 4 * time.Second})
}

// drill takes a key away by a configuration, brings the store back from a copy of before,
// and starts a host that was killed meanwhile.
func (l *lab) drill(killed *host, servers []*backend, key string, after map[string]any) {
	for _, h := range l.hosts {
		if r := l.get(h, key); r.status != 200 {
			l.unable("%s answers %d before the key is taken away", h.name, r.status)
		}
	}
	acknowledged := l.store.put("op/config", after)
	l.record("ack", "-", "version %s, without %s", after["version"], key)
	time.Sleep(3800 * time.Millisecond)
	if l.trouble {
		l.store.stop()
		l.record("store", "-", "away")
	}
	killed.signal(syscall.SIGKILL)
	killed.kill()
	time.Sleep(1600 * time.Millisecond)
	if l.trouble {
		age := time.Since(acknowledged) + 200*time.Millisecond
		l.store.restore(age)
		l.record("store", "-", "back from a copy that is %.1f s old", age.Seconds())
	}
	returned := time.Now()
	killed.begin()
	until := returned.Add(4 * time.Second)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for ; time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
				sent := time.Now()
				r := l.get(killed, key)
				if sent.Sub(acknowledged) > revokeBound && r.status == 200 {
					l.fail("CONFIG: %s had a request run that was sent %.2f s after the acknowledgement that took its key away", killed.name, sent.Sub(acknowledged).Seconds())
				}
			}
		})
	}
	time.Sleep(time.Second)
	for _, b := range servers {
		b.register("ready")
	}
	l.store.put("op/config", after)
	l.record("ack", "-", "version %s again", after["version"])
	wg.Wait()
}
