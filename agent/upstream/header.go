package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists headers that apply to a single connection and are not forwarded, RFC 9110 section 7.6.1.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// CopyHeaders adds the headers of from to the headers of to, except for hop-by-hop headers and headers whose names
// begin with skipPrefix, which must be in canonical form.
func CopyHeaders(to, from http.Header, skipPrefix string) {
	listed := connectionOptions(from)
	for name, values := range from {
		if listed[name] || strings.HasPrefix(name, skipPrefix) || isHopByHop(name) {
			continue
		}
		to[name] = append(to[name], values...)
	}
}

// connectionOptions returns the names of the headers that the Connection header lists.
func connectionOptions(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	listed := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

func isHopByHop(name string) bool {
	for _, hop := range hopByHop {
		if name == hop {
			return true
		}
	}
	return false
}
