// Package health decides which backend servers of a service are failing
// (outlier detection).
//
// The evidence is the outcomes of real requests; there are no health checks. A
// Monitor, one for each service at each host, counts the outcomes and says when
// a report to the service's coordinator is due. A Coordinator adds up the
// reports, ejects failing servers as far as the floor allows, tries them again
// and readmits them. EjectionSets holds at each host the ejection sets that
// coordinators published. PoolView.CapAtFloor cuts a set down to the floor as
// that host sees it.
//
// Limitations: reports name only servers that fail or are in trial, so the
// attempts at the others are estimated from the hosts' rates, spread evenly
// over the servers in use. A failing server that gets less than its even share
// is detected later. Nothing is decided about servers that get no requests.
package health
