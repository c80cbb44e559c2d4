package rules

import (
	"fmt"
	"net/netip"
	"path"
	"strconv"
	"strings"
	"time"
)

// Limits and defaults of the options of service and domain rules.
const (
	maxServiceID       = 1<<16 - 1
	maxDomainID        = 1<<8 - 1
	maxSlots           = 10_000
	maxConnections     = 1_000_000
	maxDeadline        = time.Hour
	maxQueue           = time.Minute
	defaultSlots       = 8
	defaultConnections = 2000
	defaultDeadline    = 10 * time.Second
	defaultQueue       = 200 * time.Millisecond
	defaultObjective   = 99.9 // percent
)

// optionParser parses the value of one key into a service or a domain. If the value is invalid, it returns what
// the file should have instead, else an empty string.
type optionParser[T any] func(dst *T, value string) (want string)

func intOption[T any](minValue, maxValue int, set func(*T, int)) optionParser[T] {
	return func(dst *T, value string) string {
		n, err := strconv.Atoi(value)
		if err != nil || n < minValue || n > maxValue {
			return fmt.Sprintf("a whole number from %d to %d", minValue, maxValue)
		}
		set(dst, n)
		return ""
	}
}

func durationOption[T any](maxValue time.Duration, set func(*T, time.Duration)) optionParser[T] {
	return func(dst *T, value string) string {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 || d > maxValue {
			return fmt.Sprintf("a duration with a unit, such as 200ms or 10s, at most %s", maxValue)
		}
		set(dst, d)
		return ""
	}
}

var serviceOptions = map[string]optionParser[Service]{
	"id":          intOption(1, maxServiceID, func(s *Service, n int) { s.ID = ServiceID(n) }),
	"slots":       intOption(1, maxSlots, func(s *Service, n int) { s.Slots = n }),
	"connections": intOption(1, maxConnections, func(s *Service, n int) { s.Connections = n }),
	"deadline":    durationOption(maxDeadline, func(s *Service, d time.Duration) { s.Deadline = d }),
	"queue":       durationOption(maxQueue, func(s *Service, d time.Duration) { s.Queue = d }),
	"address":     parseAddress,
	"pool":        parsePool,
	"repeatable":  parseRepeatable,
	"objective":   parseObjective,
}

var domainOptions = map[string]optionParser[Domain]{
	"id":     intOption(1, maxDomainID, func(d *Domain, n int) { d.ID = DomainID(n) }),
	"region": parseRegion,
}

func parseAddress(s *Service, value string) string {
	address, err := netip.ParseAddrPort(value)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		return "an IPv4 address and a port, such as 192.0.2.1:443"
	}
	s.Address = address
	return ""
}

func parsePool(s *Service, value string) string {
	for _, pattern := range strings.Split(value, ",") {
		if _, err := path.Match(pattern, ""); err != nil || pattern == "" {
			return "a comma-separated list of VM names or globs"
		}
		s.Pool = append(s.Pool, pattern)
	}
	return ""
}

func parseRepeatable(s *Service, value string) string {
	if value == "none" {
		return ""
	}
	for _, method := range strings.Split(value, ",") {
		if method == "" || strings.ToUpper(method) != method || !validName(method) {
			return "none or a comma-separated list of upper-case methods, such as GET,HEAD"
		}
		s.Repeatable = append(s.Repeatable, method)
	}
	return ""
}

func parseObjective(s *Service, value string) string {
	percent, err := strconv.ParseFloat(value, 64)
	if err != nil || !(percent > 0 && percent < 100) {
		return "a percentage above 0 and below 100, such as 99.9"
	}
	s.Objective = percent
	return ""
}

func parseRegion(d *Domain, value string) string {
	if !validName(value) {
		return "a region name"
	}
	d.Region = value
	return ""
}

// applyOptions parses key=value words into dst. It adds an error for each unknown, duplicate, malformed or
// missing key.
func applyOptions[T any](
	p *parser, line int, words []word, parsers map[string]optionParser[T], required []string, dst *T,
) {
	seen := make(map[string]bool)
	end := 1
	for _, w := range words {
		end = w.column + len(w.text)
		key, value, found := strings.Cut(w.text, "=")
		parse, ok := parsers[key]
		switch {
		case !found || !ok:
			p.addError(line, w.column, quote(w.text), "key=value with one of the keys "+listKeys(parsers))
			continue
		case seen[key]:
			p.addError(line, w.column, "duplicate key "+quote(key), "each key once")
			continue
		}
		seen[key] = true
		if want := parse(dst, value); want != "" {
			p.addError(line, w.column+len(key)+1, quote(value), want)
		}
	}
	for _, key := range required {
		if !seen[key] {
			p.addError(line, end, "no "+key, key+"=...")
		}
	}
}
