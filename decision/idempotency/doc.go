// Package idempotency keeps the records of idempotency keys at the owner of a
// slot: who may forward a request, and how it ended. A key is granted at most
// once unless its holder reports that the request did not run. The state is
// lost with its host, so an owner grants only keys that no owner before it can
// have granted.
package idempotency
