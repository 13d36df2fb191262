// Package admission keeps client accounts within their rate and burst. Owner
// is the side of a slot's owner: token buckets and outstanding grants. Holder
// is the side of a host that admits requests: grants that it holds, requests
// that wait for tokens, and asks under way.
//
// The bound: the sum admitted over all hosts in any window w is at most
// burst + rate × w. At an owner, level + outstanding is at most the burst
// share at every instant, and grows by at most the rate share. A token leaves
// outstanding only when its use is known to have happened, when it is known
// never to be used, or when it can no longer be used.
//
// Limits: a change of the number of failure domains or of slots per domain
// moves accounts to other slots, whose buckets may be full; the bound then
// holds with twice the burst for the window around the change.
package admission
