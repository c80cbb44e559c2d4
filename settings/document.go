package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// document is a settings file while it is read. It collects the faults of all fields.
type document struct {
	file   string
	text   []byte
	root   hujson.Value
	faults []*FieldError
}

// read parses a file of JSON with comments into settings. It returns an error only when there is no JSON object to
// judge; the faults of fields are in the document.
func read(file string, into any) (*document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	d := &document{file: file, text: text, root: root}
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var tree map[string]any
	if err := json.Unmarshal(standard, &tree); err != nil {
		return nil, fmt.Errorf("%s: want one JSON object: %w", file, err)
	}
	d.prune(tree, reflect.TypeOf(into).Elem(), "")
	rest, err := json.Marshal(tree)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := json.Unmarshal(rest, into); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return d, nil
}

// prune reports unknown keys and values that do not fit their field, and takes them out, so that the rest is judged too.
func (d *document) prune(object map[string]any, kind reflect.Type, path string) {
	fields := fieldsOf(kind)
	for _, key := range sortedKeys(object) {
		field, known := fields[key]
		if !known {
			d.add(path+key, "one of "+strings.Join(sortedKeys(fields), ", "))
			delete(object, key)
			continue
		}
		if inner := fieldsOf(field); len(inner) > 0 {
			d.pruneObject(object, key, field, path)
			continue
		}
		if want := misfit(object[key], field); want != "" {
			d.add(path+key, want)
			delete(object, key)
		}
	}
}

func (d *document) pruneObject(object map[string]any, key string, kind reflect.Type, path string) {
	inner, ok := object[key].(map[string]any)
	if !ok {
		d.add(path+key, "an object with the keys "+strings.Join(sortedKeys(fieldsOf(kind)), ", "))
		delete(object, key)
		return
	}
	d.prune(inner, kind, path+key+".")
}

// misfit returns what is wanted when the value does not fit the type.
func misfit(value any, kind reflect.Type) string {
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	err = json.Unmarshal(text, reflect.New(kind).Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &mismatch):
		return fmt.Sprintf("a value of type %s, found %s", kind, text)
	default:
		return fmt.Sprintf("%s, found %s", wantOf(kind), text)
	}
}

// wantOf says what a field of the type takes.
func wantOf(kind reflect.Type) string {
	switch kind.String() {
	case "settings.Duration":
		return `a duration with a unit, such as "5s"`
	case "netip.AddrPort":
		return wantAddress
	case "netip.Addr":
		return "an IPv4 address"
	default:
		return "a value of type " + kind.String()
	}
}

func (d *document) add(path, want string) {
	d.faults = append(d.faults, &FieldError{Path: path, Want: want})
}

// finish returns all faults in the order of the file, each field once, with their places.
func (d *document) finish(c *checker) error {
	seen := make(map[string]bool)
	var all []*FieldError
	for _, fault := range append(d.faults, c.faults...) {
		if seen[fault.Path] {
			continue
		}
		seen[fault.Path] = true
		fault.File = d.file
		fault.Line, fault.Column = d.locate(fault.Path)
		all = append(all, fault)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Line < all[j].Line })
	errs := make([]error, len(all))
	for i, fault := range all {
		errs[i] = fault
	}
	return errors.Join(errs...)
}

// locate returns the line and the column of a field, or of the innermost object where a missing field belongs.
func (d *document) locate(path string) (line, column int) {
	value := &d.root
	for _, key := range strings.Split(path, ".") {
		inner := value.Find("/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(key))
		if inner == nil {
			break
		}
		value = inner
	}
	before := d.text[:value.StartOffset]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, column
}

// fieldsOf returns the JSON keys of a struct, those of embedded structs included.
func fieldsOf(kind reflect.Type) map[string]reflect.Type {
	if kind.Kind() != reflect.Struct {
		return nil
	}
	fields := make(map[string]reflect.Type)
	for _, field := range reflect.VisibleFields(kind) {
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag != "" && !field.Anonymous {
			fields[tag] = field.Type
		}
	}
	return fields
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
