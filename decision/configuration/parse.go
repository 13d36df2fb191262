package configuration

import (
	"encoding/hex"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollensail.dev/decision/model"
)

// minTimeout and maxTimeout bound a route's timeout and target. maxTimeout is the
// upper limit of all other durations too.
const (
	minTimeout = time.Millisecond
	maxTimeout = 24 * time.Hour
)

// maxRatePerSecond is the highest rate of an account in requests per second.
const maxRatePerSecond = 1e9

// maxHostNameLength is the longest host name of DNS in bytes (RFC 1035).
const maxHostNameLength = 253

// maxNameLength bounds an account name in bytes. With the fields of the request
// it has to fit into the header that servers accept.
const maxNameLength = 4096

// maxElementLength and maxPathLength are the maximum lengths in bytes of an
// element of a path and of a whole path. They are bounded because paths appear
// in metrics and logs.
const (
	maxElementLength = 64
	maxPathLength    = 256
)

// keyHashPrefix precedes the hexadecimal hash of a key in the settings tree.
const keyHashPrefix = "sha256:"

// Lines splits the value of a list setting into its elements, one for each line.
func Lines(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, "\n")
}

// JoinLines is the inverse of Lines.
func JoinLines(values []string) string { return strings.Join(values, "\n") }

// FormatKey returns a key's hash in the notation of the settings tree, "sha256:"
// followed by hexadecimal digits.
func FormatKey(hash model.KeyHash) string { return keyHashPrefix + hex.EncodeToString(hash[:]) }

// ParseKey is the inverse of FormatKey.
func ParseKey(value string) (model.KeyHash, bool) {
	var hash model.KeyHash
	digits, ok := strings.CutPrefix(value, keyHashPrefix)
	if !ok || len(digits) != 2*len(hash) || digits != strings.ToLower(digits) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, err == nil
}

// parseList parses each line of a value. It returns false if a line is invalid
// or occurs twice, or if the list is empty.
func parseList[T any](target *[]T, value string, parse func(string) (T, bool)) bool {
	lines := Lines(value)
	parsed := make([]T, 0, len(lines))
	for i, line := range lines {
		v, ok := parse(line)
		if !ok || slices.Contains(lines[:i], line) {
			return false
		}
		parsed = append(parsed, v)
	}
	*target = parsed
	return len(parsed) > 0
}

func parseDomains(target *[]model.DomainID, value string) bool {
	return parseList(target, value, func(v string) (model.DomainID, bool) {
		return model.DomainID(v), isElement(v)
	})
}

func parseKeys(target *[]model.KeyHash, value string) bool {
	if value == "" {
		*target = nil
		return true
	}
	return parseList(target, value, ParseKey)
}

func parsePaths(target *[]string, value string) bool {
	return parseList(target, value, func(v string) (string, bool) { return v, isPath(v) })
}

func parseMethods(target *[]string, value string) bool {
	return parseList(target, value, func(v string) (string, bool) { return v, isMethod(v) })
}

func parseServers(target *[]model.ServerID, value string) bool {
	if value == "" {
		*target = nil
		return true
	}
	return parseList(target, value, func(v string) (model.ServerID, bool) {
		return model.ServerID(v), isAddress(v)
	})
}

func parseService(target *model.ServiceID, value string) bool {
	*target = model.ServiceID(value)
	return isPath(value)
}

// unmatchedHost is the host name of a route whose names are invalid. No request has
// it, while a route without names would match any.
const unmatchedHost = " "

func parseHosts(target *[]string, value string) bool {
	ok := parseList(target, value, func(v string) (string, bool) { return v, isHostName(v) })
	if !ok {
		*target = []string{unmatchedHost}
	}
	return ok
}

// isHostName reports whether v can be the host name of a request in lower case.
func isHostName(v string) bool {
	if v == "" || len(v) > maxHostNameLength || v != strings.ToLower(v) {
		return false
	}
	return !strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f })
}

// weightPrecision is the number of units in a weight of 1 where a split has weights
// with a fraction.
const weightPrecision = 1000

// parseSplit accepts parts of weight 0, which get no requests, and several parts
// of one service.
func parseSplit(target *[]WeightedService, value string) bool {
	var services []model.ServiceID
	var weights []float64
	unit := 1.0
	for _, line := range Lines(value) {
		name, number, ok := strings.Cut(line, " ")
		weight, err := strconv.ParseFloat(number, 64)
		isWeight := err == nil && 0 <= weight && weight <= maxCount
		if !ok || !isWeight || !isPath(name) {
			return false
		}
		if weight != math.Trunc(weight) {
			unit = weightPrecision
		}
		services = append(services, model.ServiceID(name))
		weights = append(weights, weight)
	}
	total := 0
	parts := make([]WeightedService, len(services))
	for i, service := range services {
		parts[i] = WeightedService{service, int(math.Round(weights[i] * unit))}
		total += parts[i].Weight
	}
	if total > 0 {
		*target = parts
	}
	return total > 0
}

// parseName accepts text without control characters and surrounding spaces,
// because the name is sent in a header field.
func parseName(target *string, value string) bool {
	*target = value
	for i := range len(value) {
		if value[i] < ' ' || value[i] == 0x7f {
			return false
		}
	}
	return value != "" && len(value) <= maxNameLength && strings.TrimSpace(value) == value
}

func parseClass(target *model.Class, value string) bool {
	class, ok := model.ParseClass(value)
	*target = class
	return ok
}

func parseBool(target *bool, value string) bool {
	*target = value == "true"
	return value == "true" || value == "false"
}

func parseCount(target *int, value string, least, most int) bool {
	n, err := strconv.Atoi(value)
	*target = n
	return err == nil && least <= n && n <= most
}

// parseNumber does not accept NaN, which no comparison holds for.
func parseNumber(target *float64, value string, least, most float64) bool {
	n, err := strconv.ParseFloat(value, 64)
	*target = n
	return err == nil && least <= n && n <= most
}

func parseDuration(target *time.Duration, value string, least, most time.Duration) bool {
	d, err := time.ParseDuration(value)
	*target = d
	return err == nil && least <= d && d <= most
}

func parsePercent(target *float64, value string) bool {
	digits, ok := strings.CutSuffix(value, "%")
	n, err := strconv.ParseFloat(digits, 64)
	*target = n / 100
	return ok && err == nil && 0 <= n && n <= 100
}

// unlimited is the value of the setting rate for an account without a limit.
const unlimited = "unlimited"

func parseRate(target *float64, value string) bool {
	if value == unlimited {
		*target = 0
		return true
	}
	number, unit, _ := strings.Cut(value, "/")
	n, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(n) {
		return false
	}
	switch unit {
	case "s":
	case "m":
		n /= time.Minute.Seconds()
	default:
		return false
	}
	*target = n
	return 0 < n && n <= maxRatePerSecond
}

func parseURLPath(target *string, value string) bool {
	*target = value
	if !strings.HasPrefix(value, "/") || strings.ContainsAny(value, "?#\\ \t\n") {
		return false
	}
	for _, element := range strings.Split(trimTrailingSlash(value[1:]), "/") {
		isEmptyRoot := element == "" && value == "/"
		if !isEmptyRoot && (element == "" || element == "." || element == "..") {
			return false
		}
	}
	return true
}

// isPath reports whether v is a valid path, as below a top branch.
func isPath(v string) bool {
	if len(v) > maxPathLength {
		return false
	}
	for element := range strings.SplitSeq(v, "/") {
		if !isElement(element) {
			return false
		}
	}
	return true
}

func isElement(v string) bool {
	if v == "" || len(v) > maxElementLength || v == "." || v == ".." {
		return false
	}
	for i := range len(v) {
		if !isElementByte(v[i]) {
			return false
		}
	}
	return true
}

func isElementByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return b == '-' || b == '_' || b == '.'
	}
}

func isMethod(v string) bool {
	for i := range len(v) {
		if v[i] < 'A' || v[i] > 'Z' {
			return false
		}
	}
	return v != ""
}

// isAddress reports whether v is "host:port" with a host of letters, digits
// and the punctuation of IP addresses.
func isAddress(v string) bool {
	i := strings.LastIndexByte(v, ':')
	if i <= 0 {
		return false
	}
	port, err := strconv.ParseUint(v[i+1:], 10, 16)
	if err != nil || port == 0 {
		return false
	}
	isBracketed := strings.HasPrefix(v, "[") && v[i-1] == ']'
	host := v[:i]
	if isBracketed {
		host = v[1 : i-1]
	}
	for j := range len(host) {
		if !isElementByte(host[j]) && (!isBracketed || host[j] != ':') {
			return false
		}
	}
	return host != ""
}
