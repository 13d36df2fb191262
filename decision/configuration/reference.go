package configuration

import "pollensail.dev/decision/model"

// checkObjects records a problem for each object with branches below it. That
// occurs only if a shard of objects holds an inner branch.
func (b *Build) checkObjects() {
	for p := range b.innerPaths {
		_, isAccount := b.snapshot.Accounts[model.AccountID(p.Below())]
		_, isRoute := b.snapshot.Routes[model.RouteID(p.Below())]
		_, isService := b.snapshot.Services[model.ServiceID(p.Below())]
		top := p.Top()
		if isAccount && top == TopAccounts || isRoute && top == TopRoutes || isService && top == TopServices {
			b.reportBranch(p, "no branches below an object")
		}
	}
}

// checkReferences checks that the services named in routes and the routes named
// in accounts exist.
func (b *Build) checkReferences() {
	branches := map[Path]bool{"": true}
	for id, r := range b.snapshot.Routes {
		addAncestors(branches, Path(id))
		for _, service := range r.Services() {
			if _, ok := b.snapshot.Services[service]; !ok && service != "" {
				b.reportInvalid(Path(TopRoutes+"/"+string(id)), "service", string(service))
			}
		}
	}
	for id, a := range b.snapshot.Accounts {
		for _, name := range a.Routes {
			_, isRoute := b.snapshot.Routes[model.RouteID(name)]
			if !isRoute && !branches[Path(name)] {
				b.reportInvalid(Path(TopAccounts+"/"+string(id)), "routes", name)
			}
		}
	}
}

// reportInvalid records an invalid value of a setting, looked up by name.
func (b *Build) reportInvalid(p Path, setting, value string) {
	d, _ := Lookup(p, setting)
	b.reportSetting(p, d, value)
}
