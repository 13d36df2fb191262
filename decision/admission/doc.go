// Package admission is a distributed rate limiter. It keeps each client account
// within its rate and burst over all entry hosts.
//
// An account's limit is split over slots. The owner of a slot keeps a token
// bucket for the account's share (OwnedBuckets) and lends tokens to other hosts
// in grants of limited validity. A host that admits requests (Limiter) draws
// tokens from its grants, queues requests while it has none, and asks owners
// for more. A host with steady demand prefetches tokens. When a grant is used
// up or no longer needed, the host settles it: it reports how many tokens were
// spent, and the owner takes back the rest.
//
// The bound: the sum admitted over all hosts in any window w is at most burst +
// rate × w. At an owner, level + outstanding is at most the burst share at
// every instant, and grows by at most the rate share. A token leaves
// outstanding only when its use is known to have happened, when it is known
// never to be used, or when it can no longer be used.
//
// Limits: a change of the number of failure domains or of slots per domain
// moves accounts to other slots, whose buckets may be full; the bound then
// holds with twice the burst for the window around the change.
package admission
