// Package configservice holds the HTTP clients of the platform: the configuration service and the VM list. Both answer
// blocking queries: a query with an index waits until the state has a higher one.
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
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/settings"
)

// Limits of the clients.
const (
	// minWaitTime is how long a blocking query waits for a change, at least. A connection that went silent shows only
	// when the wait is over, and a changed rule must be in force within 4 s even where all open ones went silent.
	minWaitTime = time.Second
	// maxWaitTime is the longest wait. A query that ends without a change returns the whole value again, and 674 KB each
	// 30 s would nearly fill the 26 KB/s of a process. Large values are read by 24 processes over as many connections.
	maxWaitTime = 5 * time.Minute
	// repeatRate bounds the cost of such answers, in bytes a second, by a longer wait for larger values.
	repeatRate = 4000
	// jitterShare and waitSlack cover the share of the wait that the configuration service adds as jitter, and transport.
	jitterShare = 16
	waitSlack   = time.Second
	// Keep-alive probes find a connection that a middlebox has forgotten after 5 s, long before the wait is over.
	keepAliveIdle  = 2 * time.Second
	keepAliveCount = 3
	// quickTimeout bounds a query that does not wait.
	quickTimeout = 3 * time.Second
	dialTimeout  = 2 * time.Second
	idleTimeout  = 40 * time.Second
	// maxAnswerBytes holds a 1 MB value in base64, or a list of some 20,000 VMs.
	maxAnswerBytes = 8 << 20
)

// ErrNoRules is returned when the configuration service does not hold the rule file.
var ErrNoRules = errors.New("the configuration service holds no rule file under the key")

// Client reads the configuration service and the VM list.
type Client struct {
	settings settings.Platform
	http     *http.Client

	rulesBytes atomic.Int64 // size of the last answer
	listBytes  atomic.Int64
}

// NewClient returns a client whose connections leave from the local IP, where that is valid.
func NewClient(s settings.Platform, local netip.Addr) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveCount,
	}}
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2}
	return &Client{settings: s, http: &http.Client{Transport: transport}}
}

// RulesResponse is an answer of the configuration service for the rule file.
type RulesResponse struct {
	Revision rules.Revision // modify index of the key
	Index    uint64         // to wait on with the next query
	Text     string
}

// Rules returns the rule file. With an index above zero it waits for a change after that index.
func (c *Client) Rules(ctx context.Context, index uint64) (*RulesResponse, error) {
	wait := waitFor(index, &c.rulesBytes)
	address := c.settings.ConfigURL + "/v1/kv/" + c.settings.RulesKey + waitQuery("", index, wait)
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
		return nil, fmt.Errorf("read rules: value of the key: %w", err)
	}
	next, err := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		next = values[0].ModifyIndex
	}
	return &RulesResponse{Revision: rules.Revision(values[0].ModifyIndex), Index: next, Text: string(text)}, nil
}

// VMListResponse is an answer of the VM list.
type VMListResponse struct {
	Index uint64
	VMs   []fleet.VM
}

// vmEntry is a VM in the JSON form of the list.
type vmEntry struct {
	Name          string         `json:"name"`
	FailureDomain string         `json:"failure_domain"`
	Role          string         `json:"role"`
	State         string         `json:"state"`
	Data          netip.AddrPort `json:"data"`
	Control       netip.AddrPort `json:"control"`
	Admin         netip.AddrPort `json:"admin"`
}

// VMs returns the VM list of one failure domain, or of all where domain is empty. With an index above zero it waits for
// a change after that index.
func (c *Client) VMs(ctx context.Context, domain string, index uint64) (*VMListResponse, error) {
	query := ""
	if domain != "" {
		query = "domain=" + url.QueryEscape(domain)
	}
	var answer struct {
		Index uint64    `json:"index"`
		VMs   []vmEntry `json:"vms"`
	}
	wait := waitFor(index, &c.listBytes)
	address := c.settings.VMsURL + "/v1/vms" + waitQuery(query, index, wait)
	if _, err := c.get(ctx, address, wait, &answer, &c.listBytes); err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	list := &VMListResponse{Index: answer.Index, VMs: make([]fleet.VM, 0, len(answer.VMs))}
	for i := range answer.VMs {
		if vm, ok := answer.VMs[i].vm(); ok {
			list.VMs = append(list.VMs, vm)
		}
	}
	return list, nil
}

// vm returns the entry in the fleet's terms. An entry without a name or with an unknown role is skipped.
func (e *vmEntry) vm() (fleet.VM, bool) {
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
		return vm, false
	}
	return vm, e.Name != "" && e.Control.IsValid()
}

// waitFor returns how long a query with the index waits, by the size of the last answer; zero for one that does not.
func waitFor(index uint64, last *atomic.Int64) time.Duration {
	if index == 0 {
		return 0
	}
	wait := max(minWaitTime, time.Duration(last.Load()/repeatRate)*time.Second)
	return min(wait, maxWaitTime)
}

func waitQuery(query string, index uint64, wait time.Duration) string {
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

func (c *Client) get(ctx context.Context, address string, wait time.Duration, into any, size *atomic.Int64,
) (http.Header, error) {
	timeout := quickTimeout
	if wait > 0 {
		timeout = wait + wait/jitterShare + waitSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotFound {
		return nil, ErrNoRules
	}
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("found status %d, want 200", answer.StatusCode)
	}
	body := &countingReader{reader: io.LimitReader(answer.Body, maxAnswerBytes)}
	if err := json.NewDecoder(body).Decode(into); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	size.Store(body.count)
	return answer.Header, nil
}

type countingReader struct {
	reader io.Reader
	count  int64
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	r.count += int64(n)
	return n, err
}
