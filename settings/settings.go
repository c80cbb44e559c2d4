// Package settings loads the static settings of a program from JSON with comments and reports all errors at once.
// Configuration that operators change at run time is in the rule file, see package rules.
package settings

import (
	"fmt"
	"net/netip"
	"strings"
)

// Common holds the settings that cowslip-balancer and cowslip-agent share.
type Common struct {
	VM            string    `json:"vm"`
	FailureDomain string    `json:"failure_domain"`
	Listen        Listen    `json:"listen"`
	Advertise     Advertise `json:"advertise"`
	Platform      Platform  `json:"platform"`
	Keys          Keys      `json:"keys"`
	Log           Log       `json:"log"`
}

// Listen holds the addresses that a daemon binds.
type Listen struct {
	Data    netip.AddrPort `json:"data"`    // tunnel, UDP
	Control netip.AddrPort `json:"control"` // peers, TCP with mutual TLS
	Admin   netip.AddrPort `json:"admin"`   // metrics, readiness and administration API, TCP
}

// Advertise holds the addresses that peers connect to, if they differ from those that the daemon binds.
type Advertise struct {
	Data    netip.AddrPort `json:"data"`
	Control netip.AddrPort `json:"control"`
}

// Platform holds the locations of the platform's services.
type Platform struct {
	ConfigURL string `json:"config_url"`
	RulesKey  string `json:"rules_key"`
	VMsURL    string `json:"vms_url"`
}

// Keys holds the location of the key files.
type Keys struct {
	Dir string `json:"dir"`
}

// Log holds the level and the format of log lines.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// FieldError reports a missing or invalid field of a settings file.
type FieldError struct {
	File   string
	Line   int    // from 1; of the enclosing object if the field is missing
	Column int    // from 1, in bytes
	Path   string // path of the field, such as listen.data
	Want   string
}

// Error formats the error on one line as file:line:column: field: want description.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: want %s", e.File, e.Line, e.Column, e.Path, e.Want)
}

// checker collects the errors of values that have the right type but are missing or invalid.
type checker struct {
	fieldErrors []*FieldError
}

func (c *checker) require(ok bool, path, want string) {
	if !ok {
		c.fieldErrors = append(c.fieldErrors, &FieldError{Path: path, Want: want})
	}
}

const (
	wantAddress = "an IPv4 address and a port, such as 192.0.2.1:7400"
	wantURL     = "a URL that starts with http:// or https://"
)

func isAddress(a netip.AddrPort) bool {
	return a.IsValid() && a.Addr().Is4() && a.Port() != 0
}

func isURL(value string) bool {
	return strings.HasPrefix(value, "http://") || strings.HasPrefix(value, "https://")
}

// setDefaultsAndValidate sets defaults for the common settings and records invalid values in the checker.
func (s *Common) setDefaultsAndValidate(c *checker) {
	if !s.Advertise.Data.IsValid() {
		s.Advertise.Data = s.Listen.Data
	}
	if !s.Advertise.Control.IsValid() {
		s.Advertise.Control = s.Listen.Control
	}
	if s.Platform.RulesKey == "" {
		s.Platform.RulesKey = DefaultRulesKey
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "text"
	}
	c.require(s.VM != "", "vm", "the name of this VM in the platform's list")
	c.require(s.FailureDomain != "", "failure_domain", "the name of this VM's failure domain")
	c.require(isAddress(s.Listen.Data), "listen.data", wantAddress)
	c.require(isAddress(s.Listen.Control), "listen.control", wantAddress)
	c.require(isAddress(s.Listen.Admin), "listen.admin", wantAddress)
	c.require(isAddress(s.Advertise.Data) || !isAddress(s.Listen.Data), "advertise.data", wantAddress)
	c.require(isAddress(s.Advertise.Control) || !isAddress(s.Listen.Control), "advertise.control", wantAddress)
	c.require(isURL(s.Platform.ConfigURL), "platform.config_url", wantURL)
	c.require(isURL(s.Platform.VMsURL), "platform.vms_url", wantURL)
	c.require(s.Keys.Dir != "", "keys.dir", "the directory of the key files")
	c.require(isOneOf(s.Log.Level, "debug", "info", "warn", "error"), "log.level", "debug, info, warn or error")
	c.require(isOneOf(s.Log.Format, "text", "json"), "log.format", "text or json")
}

// DefaultRulesKey is the key of the rule file in the configuration service.
const DefaultRulesKey = "cowslipward/rules"

func isOneOf(value string, choices ...string) bool {
	for _, choice := range choices {
		if value == choice {
			return true
		}
	}
	return false
}
