package configuration

import "pollensail.dev/decision/model"

// checkObjects records a problem for each object with branches below it. That
// occurs only if a shard of objects holds an inner branch.
func (c *Compiler) checkObjects() {
	for p := range c.innerPaths {
		_, isAccount := c.snapshot.Accounts[model.AccountID(p.Below())]
		_, isRoute := c.snapshot.Routes[model.RouteID(p.Below())]
		_, isService := c.snapshot.Services[model.ServiceID(p.Below())]
		top := p.Top()
		if isAccount && top == TopAccounts || isRoute && top == TopRoutes || isService && top == TopServices {
			c.reportBranch(p, "no branches below an object")
		}
	}
}

// checkReferences checks that the services named in routes and the routes named
// in accounts exist.
func (c *Compiler) checkReferences() {
	branches := map[Path]bool{"": true}
	for id, r := range c.snapshot.Routes {
		addAncestors(branches, Path(id))
		for _, service := range r.Services() {
			if _, ok := c.snapshot.Services[service]; !ok && service != "" {
				c.reportReference(Path(TopRoutes+"/"+string(id)), "service", string(service))
			}
		}
	}
	for id, a := range c.snapshot.Accounts {
		for _, name := range a.Routes {
			_, isRoute := c.snapshot.Routes[model.RouteID(name)]
			if !isRoute && !branches[Path(name)] {
				c.reportReference(Path(TopAccounts+"/"+string(id)), "routes", name)
			}
		}
	}
}

// reportReference records a reference to an object that does not exist. The object
// that refers to it stays usable: requests to a service that does not exist are
// refused, and other parts of a split get theirs.
func (c *Compiler) reportReference(p Path, setting, value string) {
	d, _ := Lookup(p, setting)
	c.problems = append(c.problems, Problem{Branch: p, Setting: d.Name, Value: value, Expected: d.Expected})
}

// reportInvalid records an invalid value of a setting, looked up by name.
func (c *Compiler) reportInvalid(p Path, setting, value string) {
	d, _ := Lookup(p, setting)
	c.reportSetting(p, d, value)
}
