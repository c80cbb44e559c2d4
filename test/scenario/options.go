package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// options are the key=value words of a command. Each must be read once.
type options struct {
	values map[string]string
	errs   []error
}

// parse splits a command into plain words and options. It wants at least the number of plain words.
func parse(args []string, least int) ([]string, *options, error) {
	o := &options{values: make(map[string]string)}
	var words []string
	for _, arg := range args {
		if name, value, ok := strings.Cut(arg, "="); ok && name != "" {
			o.values[name] = value
			continue
		}
		words = append(words, arg)
	}
	if len(words) < least {
		return nil, nil, fmt.Errorf("want %d words, found %q", least, args)
	}
	return words, o, nil
}

func (o *options) take(name string) (string, bool) {
	value, ok := o.values[name]
	delete(o.values, name)
	return value, ok
}

func (o *options) number(name string, otherwise float64) float64 {
	text, ok := o.take(name)
	if !ok {
		return otherwise
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		o.errs = append(o.errs, fmt.Errorf("%s=%s: want a number", name, text))
	}
	return value
}

func (o *options) duration(name string, otherwise time.Duration) time.Duration {
	text, ok := o.take(name)
	if !ok {
		return otherwise
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		o.errs = append(o.errs, fmt.Errorf("%s=%s: want a duration", name, text))
	}
	return value
}

// err returns what was wrong, unknown options included.
func (o *options) err() error {
	errs := o.errs
	for name := range o.values {
		errs = append(errs, fmt.Errorf("unknown option %q", name))
	}
	return errors.Join(errs...)
}
