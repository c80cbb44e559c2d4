package rules_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/rules"
)

const sample = `# Ballyrath
domain leinster-a id=1 region=leinster # asked by Aoife, platform
domain leinster-b id=2 region=leinster # asked by Aoife, platform

service bench id=1 address=127.0.0.1:7001 pool=bench-* slots=9 deadline=5s repeatable=GET,HEAD # asked by Maire, studio
service archive id=2 address=127.0.0.1:7002 pool=archive-1,archive-2 repeatable=none # asked by Maire, studio
drain bench-3 # asked by Sean, operations
out leinster-b # asked by Sean, operations
`

// Guards against a rule that is parsed as something other than what the operator wrote.
func TestParseSample(t *testing.T) {
	set, err := rules.Parse(sample, 7)
	require.NoError(t, err)
	require.Equal(t, rules.Revision(7), set.Revision)
	bench := set.ServiceByName("bench")
	require.NotNil(t, bench)
	require.Equal(t, 9, bench.Slots)
	require.Equal(t, 5*time.Second, bench.Deadline)
	require.Equal(t, "Maire, studio", bench.Requester)
	require.True(t, bench.IsRepeatable("GET"))
	require.False(t, bench.IsRepeatable("POST"))
	require.False(t, set.ServiceByName("archive").IsRepeatable("GET"))
	require.Equal(t, "bench", set.ServiceOfVM("bench-4").Name)
	require.Equal(t, "Sean, operations", set.Drained["bench-3"])
	require.True(t, set.DomainByName("leinster-b").Out)
	require.False(t, set.Domain(1).Out)
}

// Guards against a partly accepted file, and against errors that lack the position or the cause.
func TestParseRejects(t *testing.T) {
	const domain = "domain a id=1 # x\n"
	const service = "service s id=1 address=127.0.0.1:1 pool=s-* # x\n"
	cases := []struct{ name, text, want string }{
		{"no comment", "domain a id=1", "line 1, column 14: found no comment"},
		{"empty comment", "domain a id=1 #  ", "found no comment"},
		{"unknown rule", "route a # x", `line 1, column 1: found "route", want service, domain, drain or out`},
		{"no name", "out # x", "found the end of the rule"},
		{"bad name", "out a/b # x", `line 1, column 5: found "a/b"`},
		{"unknown key", "domain a id=1 zone=b # x", `line 1, column 15: found "zone=b", want key=value with one of the keys id, region`},
		{"duplicate key", "domain a id=1 id=2 # x", `duplicate key "id"`},
		{"missing keys", "service s id=1 # x", "found no address"},
		{"id range", "domain a id=256 # x", "a whole number from 1 to 255"},
		{"address", "service s id=1 address=[::1]:1 pool=s # x", "an IPv4 address and a port"},
		{"unit", "service s id=1 address=127.0.0.1:1 pool=s deadline=5 # x", "a duration with a unit"},
		{"objective", "service s id=1 address=127.0.0.1:1 pool=s objective=NaN # x", "a percentage"},
		{"repeatable", "service s id=1 address=127.0.0.1:1 pool=s repeatable=get # x", "list of upper-case methods"},
		{"pool", "service s id=1 address=127.0.0.1:1 pool=[ # x", "VM names or globs"},
		{"domain twice", domain + domain, "a value that differs from line 1"},
		{"service twice", service + service, "a value that differs from line 1"},
		{"pools overlap", service + "service r id=2 address=127.0.0.1:2 pool=s-1 # x", "each VM in the pool of one service"},
		{"out undeclared", "out b # x", "a failure domain that a domain rule declares"},
		{"drain unknown", "drain b # x", "a VM in the pool of a service"},
		{"option on out", domain + "out a now # x", `line 2, column 7: found "now", want the end of the rule`},
		{"too large", strings.Repeat("#", rules.MaxFileBytes+1), "at most 1048576 bytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set, err := rules.Parse(c.text, 1)
			require.Nil(t, set)
			require.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against a rule file of 1 MB with an error in each line that takes long to parse or exhausts memory.
func TestParseBoundsErrors(t *testing.T) {
	_, err := rules.Parse(strings.Repeat("route x # y\n", rules.MaxFileBytes/12), 1)
	var errs rules.Errors
	require.ErrorAs(t, err, &errs)
	require.LessOrEqual(t, len(errs), rules.MaxErrors)
}

// Guards against a panic or a partly accepted file on arbitrary input.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("service s id=1 address=127.0.0.1:1 pool=[ # x")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := rules.Parse(text, 1)
		require.Equal(t, err == nil, set != nil)
	})
}
