// Package configservice provides an HTTP client for the platform's configuration service and VM list. Both
// support blocking queries: a query with an index waits until the state has a higher index.
package configservice

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/jsonlimit"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/settings"
)

// Limits and timeouts of the client.
const (
	// minWaitTime is the minimum time that a blocking query waits for a change. A connection that went silent
	// is detected only when the wait ends, and a changed rule must be in force within 4 s even if all open
	// connections went silent.
	minWaitTime = time.Second
	// maxWaitTime is the maximum wait. A query that ends without a change returns the whole value again, and
	// 674 KB every 30 s would nearly use up the 26 KB/s that a process has for control traffic. Large values
	// are read by 24 processes, each over its own connection.
	maxWaitTime = 5 * time.Minute
	// repeatBytesPerSecond limits the traffic of such unchanged responses: the larger the value, the longer the
	// wait.
	repeatBytesPerSecond = 4000
	// The configuration service adds up to wait/jitterDivisor to the wait as jitter; transportMargin covers
	// transport.
	jitterDivisor   = 16
	transportMargin = time.Second
	// Keep-alive probes detect within 5 s that a middlebox has dropped a connection's state, long before the
	// wait ends.
	keepAliveIdle  = 2 * time.Second
	keepAliveCount = 3
	// immediateTimeout is the timeout of a query that does not wait.
	immediateTimeout = 3 * time.Second
	dialTimeout      = 2 * time.Second
	idleConnTimeout  = 40 * time.Second
	// maxResponseBytes is enough for a 1 MB value in base64, or for a list of about 20,000 VMs.
	maxResponseBytes = 8 << 20
)

// ErrNoRules is returned if the configuration service has no rule file.
var ErrNoRules = errors.New("configuration service has no rule file under the configured key")

// Client reads the configuration service and the VM list.
type Client struct {
	settings settings.Platform
	http     *http.Client

	rulesBytes atomic.Int64 // size of the last response for the rule file
	listBytes  atomic.Int64 // size of the last response of the VM list
}

// NewClient returns a client. If local is valid, its connections use that source address.
func NewClient(s settings.Platform, local netip.Addr) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveCount,
	}}
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: 2}
	return &Client{settings: s, http: &http.Client{Transport: transport}}
}

// RulesResponse is a response of the configuration service for the rule file.
type RulesResponse struct {
	Revision rules.Revision // modify index of the key
	Index    uint64         // index to pass to the next query, to wait for a change
	Text     string
}

// Rules returns the rule file. If index is above zero, it waits for a change after that index.
func (c *Client) Rules(ctx context.Context, index uint64) (*RulesResponse, error) {
	wait := waitTime(index, &c.rulesBytes)
	address := c.settings.ConfigURL + "/v1/kv/" + c.settings.RulesKey + queryString("", index, wait)
	var values []struct {
		Value       string
		ModifyIndex uint64
	}
	header, err := c.get(ctx, address, wait, &values, &c.rulesBytes)
	if err != nil {
		return nil, fmt.Errorf("read rules: %w", err)
	}
	if len(values) == 0 {
		return nil, ErrNoRules
	}
	text, err := base64.StdEncoding.DecodeString(values[0].Value)
	if err != nil {
		return nil, fmt.Errorf("read rules: decode base64 value: %w", err)
	}
	next, err := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		next = values[0].ModifyIndex
	}
	return &RulesResponse{Revision: rules.Revision(values[0].ModifyIndex), Index: next, Text: string(text)}, nil
}

// VMListResponse is a response of the VM list.
type VMListResponse struct {
	Index   uint64
	VMs     []fleet.VM
	Refused []string // why entries of the list are not used, at most maxRefusedEntries of them
}

const (
	// maxRefusedEntries bounds the descriptions of refused entries.
	maxRefusedEntries = 16
	// maxDescriptionBytes bounds each of them.
	maxDescriptionBytes = 160
	// maxNameBytes bounds the names in an entry.
	maxNameBytes = 255
	// maxListDepth is the nesting up to which the list is decoded; deeper values count as null.
	maxListDepth = 16
)

// vmEntry is a VM in the JSON form of the VM list.
type vmEntry struct {
	Name          string         `json:"name"`
	FailureDomain string         `json:"failure_domain"`
	Role          string         `json:"role"`
	State         string         `json:"state"`
	Data          netip.AddrPort `json:"data"`
	Control       netip.AddrPort `json:"control"`
	Admin         netip.AddrPort `json:"admin"`
}

// VMs returns the VM list of one failure domain, or of all if domain is empty. If index is above zero, it waits
// for a change after that index.
func (c *Client) VMs(ctx context.Context, domain string, index uint64) (*VMListResponse, error) {
	query := ""
	if domain != "" {
		query = "domain=" + url.QueryEscape(domain)
	}
	var response struct {
		Index uint64            `json:"index"`
		VMs   []json.RawMessage `json:"vms"`
	}
	wait := waitTime(index, &c.listBytes)
	address := c.settings.VMsURL + "/v1/vms" + queryString(query, index, wait)
	if _, err := c.get(ctx, address, wait, &response, &c.listBytes); err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	list := &VMListResponse{Index: response.Index, VMs: make([]fleet.VM, 0, len(response.VMs))}
	for i := range response.VMs {
		list.add(response.VMs[i])
	}
	return list, nil
}

// add adds the VM of an entry, or the reason why the entry is not used. An odd entry costs only itself.
func (l *VMListResponse) add(encoded json.RawMessage) {
	var entry vmEntry
	err := json.Unmarshal(encoded, &entry)
	if err == nil {
		var vm fleet.VM
		if vm, err = entry.toVM(); err == nil {
			l.VMs = append(l.VMs, vm)
			return
		}
	}
	if len(l.Refused) < maxRefusedEntries {
		name := nameOf(encoded)
		name = name[:min(len(name), maxDescriptionBytes/2)]
		description := fmt.Sprintf("%q: %v", name, err)
		l.Refused = append(l.Refused, strings.ToValidUTF8(description[:min(len(description), maxDescriptionBytes)], "?"))
	}
}

// nameOf returns the name in an entry of the list, or an empty string if it has none.
func nameOf(encoded json.RawMessage) string {
	var named struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(encoded, &named) // an entry without a readable name is described by its error alone
	return named.Name
}

// toVM converts an entry of the list. It returns an error if the entry has no name or control address, an unknown role,
// a name that is too long, or an address that is no IPv4 address with a port.
func (e *vmEntry) toVM() (fleet.VM, error) {
	vm := fleet.VM{
		Name:          e.Name,
		FailureDomain: e.FailureDomain,
		Leaving:       e.State == "leaving",
		Data:          e.Data,
		Control:       e.Control,
		Admin:         e.Admin,
	}
	switch e.Role {
	case "balancer":
		vm.Role = fleet.RoleBalancer
	case "target":
		vm.Role = fleet.RoleTarget
	default:
		return vm, errors.New("unknown role")
	}
	switch {
	case e.Name == "" || len(e.Name) > maxNameBytes || len(e.FailureDomain) > maxNameBytes:
		return vm, fmt.Errorf("name or failure domain is missing or longer than %d bytes", maxNameBytes)
	case !e.Control.IsValid():
		return vm, errors.New("control address is missing")
	case !vm.HasUsableAddresses():
		return vm, errors.New("an address is no IPv4 address with a port")
	}
	return vm, nil
}

// waitTime returns how long a query with the index waits, given the size of the last response. A query without
// an index does not wait, and waitTime returns zero.
func waitTime(index uint64, lastBytes *atomic.Int64) time.Duration {
	if index == 0 {
		return 0
	}
	wait := max(minWaitTime, time.Duration(lastBytes.Load()/repeatBytesPerSecond)*time.Second)
	return min(wait, maxWaitTime)
}

func queryString(query string, index uint64, wait time.Duration) string {
	if index > 0 {
		if query != "" {
			query += "&"
		}
		query += "index=" + strconv.FormatUint(index, 10) + "&wait=" + strconv.Itoa(int(wait.Seconds())) + "s"
	}
	if query == "" {
		return ""
	}
	return "?" + query
}

func (c *Client) get(ctx context.Context, address string, wait time.Duration, dst any, size *atomic.Int64,
) (http.Header, error) {
	timeout := immediateTimeout
	if wait > 0 {
		timeout = wait + wait/jitterDivisor + transportMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, ErrNoRules
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("found status %d, want 200", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if err := json.Unmarshal(jsonlimit.LimitDepth(body, maxListDepth), dst); err != nil {
		return nil, fmt.Errorf("decode response: %w", err)
	}
	size.Store(int64(len(body)))
	return response.Header, nil
}
