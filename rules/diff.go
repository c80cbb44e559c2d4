package rules

import (
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the way in which a rule differs between two files.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one rule that differs between two files. The requester is part of the rule, except of an out rule.
type Change struct {
	Kind    ChangeKind
	Subject string // such as "service bench"
	Before  string // empty if added
	After   string // empty if removed
}

// Diff returns the rules that differ, sorted by subject. It ignores the order and the layout of lines.
func Diff(from, to *Set) []Change {
	before, after := from.describe(), to.describe()
	var changes []Change
	for _, subject := range subjects(before, after) {
		old, hadOld := before[subject]
		next, hasNext := after[subject]
		change := Change{Kind: Changed, Subject: subject, Before: old, After: next}
		switch {
		case !hadOld:
			change.Kind = Added
		case !hasNext:
			change.Kind = Removed
		case old == next:
			continue
		}
		changes = append(changes, change)
	}
	return changes
}

func subjects(before, after map[string]string) []string {
	all := make([]string, 0, len(before)+len(after))
	for subject := range before {
		all = append(all, subject)
	}
	for subject := range after {
		all = append(all, subject)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// describe returns a canonical description of each rule, keyed by subject.
func (s *Set) describe() map[string]string {
	all := make(map[string]string)
	for i := range s.Domains {
		d := &s.Domains[i]
		all["domain "+d.Name] = fmt.Sprintf("id=%d region=%s, asked by %s", d.ID, d.Region, d.Requester)
		if d.Out {
			all["out "+d.Name] = "out"
		}
	}
	for i := range s.Services {
		all["service "+s.Services[i].Name] = s.Services[i].describe()
	}
	for vm, requester := range s.Drained {
		all["drain "+vm] = "asked by " + requester
	}
	return all
}

func (s *Service) describe() string {
	repeatable := "none"
	if len(s.Repeatable) > 0 {
		repeatable = strings.Join(s.Repeatable, ",")
	}
	return fmt.Sprintf("id=%d address=%s pool=%s slots=%d connections=%d deadline=%s queue=%s repeatable=%s objective=%g, asked by %s",
		s.ID, s.Address, strings.Join(s.Pool, ","), s.Slots, s.Connections, s.Deadline, s.Queue, repeatable, s.Objective, s.Requester)
}
