// Package health decides which backend servers of a service are failing.
//
// Evidence is what happened to real requests. A Monitor, one for each service
// at each host, counts it and says when a report to the service's coordinator
// is due. A Coordinator sums the reports up, ejects servers under the floor,
// tries them again and readmits them. Sets holds at each host the ejections
// that coordinators published, and Limit keeps them to the floor as that host
// sees it.
//
// Limits: reports name only servers that fail or are in trial, so the work of
// the others is estimated from the hosts' rates, spread evenly over the
// servers in use. A server that gets less than its even share is found later.
// Nothing is decided about servers that get no requests.
package health
