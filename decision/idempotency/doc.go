// Package idempotency keeps the records of idempotency keys at the owner of a
// slot: which host may forward the request of a key, and how that attempt
// ended. A key is granted at most once unless its holder reports that the
// request did not run. The records are lost with their host, so an owner grants
// only keys that no earlier owner can have granted.
package idempotency
