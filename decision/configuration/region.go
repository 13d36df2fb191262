package configuration

import (
	"strings"

	"pollensail.dev/decision/model"
)

// parseRegions parses lines of a failure domain and its region. A region is the
// rest of its line, because its name comes from the platform.
func parseRegions(target *map[model.DomainID]model.RegionID, value string) bool {
	regions := make(map[model.DomainID]model.RegionID)
	for _, line := range Lines(value) {
		domain, region, _ := strings.Cut(line, " ")
		_, isRepeated := regions[model.DomainID(domain)]
		if !isElement(domain) || !isRegion(region) || isRepeated {
			return false
		}
		regions[model.DomainID(domain)] = model.RegionID(region)
	}
	*target = regions
	return len(regions) > 0
}

func parseAllowedRegions(target *[]model.RegionID, value string) bool {
	return parseList(target, value, func(v string) (model.RegionID, bool) {
		return model.RegionID(v), isRegion(v)
	})
}

func isRegion(v string) bool {
	var name string
	return parseName(&name, v)
}

// checkDomainsOfRegions records a problem for a region of a failure domain that the
// fleet does not have.
func (c *Compiler) checkDomainsOfRegions() {
	known := make(map[model.DomainID]bool, len(c.snapshot.Domains))
	for _, d := range c.snapshot.Domains {
		known[d] = true
	}
	for d := range c.snapshot.Regions {
		if !known[d] {
			c.reportInvalid("", "regions", string(d))
		}
	}
}

// checkAllowedRegions records a problem for each region that a route or an account
// names and no failure domain has. It is checked for each object, as the value may
// be inherited, so that it costs only the objects that inherit it.
func (c *Compiler) checkAllowedRegions() {
	if !c.snapshot.restrictsRegions {
		return
	}
	known := make(map[model.RegionID]bool)
	for _, region := range c.snapshot.Regions {
		known[region] = true
	}
	check := func(p Path, allowed []model.RegionID) {
		for _, region := range allowed {
			if !known[region] {
				c.reportInvalid(p, "allowed_regions", string(region))
			}
		}
	}
	c.snapshot.restrictsRegions = false
	for id, r := range c.snapshot.Routes {
		check(Path(TopRoutes+"/"+string(id)), r.AllowedRegions)
		c.snapshot.noteRestriction(r.AllowedRegions)
	}
	for id, a := range c.snapshot.Accounts {
		check(Path(TopAccounts+"/"+string(id)), a.AllowedRegions)
		c.snapshot.noteRestriction(a.AllowedRegions)
	}
}

// RestrictsRegions reports whether a route or an account of the snapshot names
// allowed regions.
func (s *Snapshot) RestrictsRegions() bool { return s.restrictsRegions }

func (s *Snapshot) noteRestriction(allowed []model.RegionID) {
	s.restrictsRegions = s.restrictsRegions || len(allowed) > 0
}
