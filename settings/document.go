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

// document is a settings file that is being parsed. It collects the errors of all fields.
type document struct {
	file        string
	text        []byte
	root        hujson.Value
	fieldErrors []*FieldError
}

// read parses a file of JSON with comments into the struct that into points to. It returns an error if the
// file cannot be read or is not a JSON object; the errors of single fields are collected in the document.
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

// prune records unknown keys and values of the wrong type, and removes them, so that the remaining fields can
// still be decoded and validated.
func (d *document) prune(object map[string]any, typ reflect.Type, path string) {
	fields := fieldsOf(typ)
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
		if want := describeMismatch(object[key], field); want != "" {
			d.add(path+key, want)
			delete(object, key)
		}
	}
}

func (d *document) pruneObject(object map[string]any, key string, typ reflect.Type, path string) {
	inner, ok := object[key].(map[string]any)
	if !ok {
		d.add(path+key, "an object with the keys "+strings.Join(sortedKeys(fieldsOf(typ)), ", "))
		delete(object, key)
		return
	}
	d.prune(inner, typ, path+key+".")
}

// describeMismatch describes the expected and the found value if the value cannot be decoded into the type,
// and returns an empty string if it can.
func describeMismatch(value any, typ reflect.Type) string {
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	err = json.Unmarshal(text, reflect.New(typ).Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &mismatch):
		return fmt.Sprintf("a value of type %s, found %s", typ, text)
	default:
		return fmt.Sprintf("%s, found %s", expectedValue(typ), text)
	}
}

// expectedValue describes the values that a field of the type accepts.
func expectedValue(typ reflect.Type) string {
	switch typ.String() {
	case "settings.Duration":
		return `a duration with a unit, such as "5s"`
	case "netip.AddrPort":
		return wantAddress
	case "netip.Addr":
		return "an IPv4 address"
	default:
		return "a value of type " + typ.String()
	}
}

func (d *document) add(path, want string) {
	d.fieldErrors = append(d.fieldErrors, &FieldError{Path: path, Want: want})
}

// finish returns the errors of the document and of the checker with their positions, sorted by line. Only the
// first error of each field is kept.
func (d *document) finish(c *checker) error {
	seen := make(map[string]bool)
	var all []*FieldError
	for _, fieldError := range append(d.fieldErrors, c.fieldErrors...) {
		if seen[fieldError.Path] {
			continue
		}
		seen[fieldError.Path] = true
		fieldError.File = d.file
		fieldError.Line, fieldError.Column = d.locate(fieldError.Path)
		all = append(all, fieldError)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Line < all[j].Line })
	errs := make([]error, len(all))
	for i, fieldError := range all {
		errs[i] = fieldError
	}
	return errors.Join(errs...)
}

// locate returns the line and the column of a field. For a missing field it returns those of the innermost existing
// object that encloses it.
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

// fieldsOf returns the types of the fields of a struct by JSON key, including those of embedded structs. It
// returns nil for other types.
func fieldsOf(typ reflect.Type) map[string]reflect.Type {
	if typ.Kind() != reflect.Struct {
		return nil
	}
	fields := make(map[string]reflect.Type)
	for _, field := range reflect.VisibleFields(typ) {
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
