package configuration

import "pollensail.dev/decision/model"

// checkObjects reports objects with branches below them. Only a shard that
// holds a branch of the wrong kind gives one.
func (b *Build) checkObjects() {
	for p := range b.above {
		_, isAccount := b.snapshot.Accounts[model.AccountID(p.Below())]
		_, isRoute := b.snapshot.Routes[model.RouteID(p.Below())]
		_, isService := b.snapshot.Services[model.ServiceID(p.Below())]
		top := p.Top()
		if isAccount && top == TopAccounts || isRoute && top == TopRoutes || isService && top == TopServices {
			b.fault(p, "no branches below an object")
		}
	}
}

// checkReferences checks the names of services in routes and of routes in
// accounts.
func (b *Build) checkReferences() {
	branches := map[Path]bool{"": true}
	for id, r := range b.snapshot.Routes {
		markInner(branches, Path(id))
		for _, service := range r.Services() {
			if _, ok := b.snapshot.Services[service]; !ok && service != "" {
				b.unknown(Path(TopRoutes+"/"+string(id)), "service", string(service))
			}
		}
	}
	for id, a := range b.snapshot.Accounts {
		for _, name := range a.Routes {
			_, isRoute := b.snapshot.Routes[model.RouteID(name)]
			if !isRoute && !branches[Path(name)] {
				b.unknown(Path(TopAccounts+"/"+string(id)), "routes", name)
			}
		}
	}
}

func (b *Build) unknown(p Path, setting, value string) {
	d, _ := Lookup(p, setting)
	b.problem(p, d, value)
}
