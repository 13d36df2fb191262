package idempotency

import (
	"encoding/hex"
	"errors"
	"hash/fnv"
	"strings"

	"pollensail.dev/decision/model"
)

// ErrNotUUIDv7 reports that a key is not a UUID of version 7 (RFC 9562).
var ErrNotUUIDv7 = errors.New("idempotency key is not a UUIDv7")

// uuidLength is the number of characters of a UUID with its dashes.
const uuidLength = 36

// KeyTime returns the creation time in a UUIDv7. It fails with ErrNotUUIDv7.
func KeyTime(key string) (model.WallTime, error) {
	if !hasUUIDSyntax(key) {
		return 0, ErrNotUUIDv7
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil {
		return 0, ErrNotUUIDv7
	}
	isVersion7 := raw[6]>>4 == 7
	isVariant10 := raw[8]>>6 == 2
	if !isVersion7 || !isVariant10 {
		return 0, ErrNotUUIDv7
	}
	var ms model.WallTime
	for _, b := range raw[:6] {
		ms = ms<<8 | model.WallTime(b)
	}
	return ms, nil
}

// hasUUIDSyntax checks the length and the places of the dashes only.
func hasUUIDSyntax(key string) bool {
	if len(key) != uuidLength {
		return false
	}
	for i := range len(key) {
		isDash := i == 8 || i == 13 || i == 18 || i == 23
		if isDash != (key[i] == '-') {
			return false
		}
	}
	return true
}

// Canonical returns a key in lower case, because the digits of a UUID may have
// either case.
func Canonical(key string) string { return strings.ToLower(key) }

// SlotOf returns the slot that owns a key, by a hash modulo the number of
// slots. It reports false when there are no slots.
func SlotOf(account model.AccountID, key string, slots []model.SlotID) (model.SlotID, bool) {
	if len(slots) == 0 {
		return model.SlotID{}, false
	}
	h := fnv.New64a()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return slots[h.Sum64()%uint64(len(slots))], true
}
