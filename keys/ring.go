// Package keys loads the fleet's keys and certificates from files, reloads them without a restart and
// generates a set for evaluation.
package keys

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// SecretBytes is the length of each secret in a key file.
const SecretBytes = 32

// maxKeys is the maximum number of keys in a ring: the active key, the previous one during a rotation, and one spare.
const maxKeys = 3

// Key is a secret and the ID by which packets and tickets refer to it.
type Key struct {
	ID     uint8
	Secret [SecretBytes]byte
}

// Ring holds the valid keys for one purpose. The first is active and signs or encrypts; all of them verify or
// decrypt.
type Ring struct {
	keys []Key
}

// NewRing returns a ring of the keys, the first of which is active. It returns an error if there are too few
// or too many keys, or if two have the same ID.
func NewRing(keys ...Key) (Ring, error) {
	if len(keys) == 0 || len(keys) > maxKeys {
		return Ring{}, fmt.Errorf("found %d keys, want 1 to %d", len(keys), maxKeys)
	}
	seen := make(map[uint8]bool)
	for _, key := range keys {
		if seen[key.ID] {
			return Ring{}, fmt.Errorf("found key id %d twice, want each id once", key.ID)
		}
		seen[key.ID] = true
	}
	return Ring{keys: keys}, nil
}

// Active returns the key that signs or encrypts.
func (r Ring) Active() Key { return r.keys[0] }

// Live returns all valid keys, the active one first. The caller must not modify the slice.
func (r Ring) Live() []Key { return r.keys }

// parseRing parses lines of the form "id hex"; blank lines and # comments are skipped. Errors never contain a secret.
func parseRing(text []byte) (Ring, error) {
	var keys []Key
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; scanner.Scan(); number++ {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		key, err := parseKey(fields)
		if err != nil {
			return Ring{}, fmt.Errorf("line %d: %w", number, err)
		}
		keys = append(keys, key)
	}
	if err := scanner.Err(); err != nil {
		return Ring{}, fmt.Errorf("read keys: %w", err)
	}
	return NewRing(keys...)
}

func parseKey(fields []string) (Key, error) {
	if len(fields) != 2 {
		return Key{}, fmt.Errorf("found %d words, want a key id and a hexadecimal secret", len(fields))
	}
	id, err := strconv.ParseUint(fields[0], 10, 8)
	if err != nil {
		return Key{}, fmt.Errorf("found a bad key id, want a whole number from 0 to 255")
	}
	secret, err := hex.DecodeString(fields[1])
	if err != nil || len(secret) != SecretBytes {
		return Key{}, fmt.Errorf("found a bad secret, want %d hexadecimal digits", 2*SecretBytes)
	}
	key := Key{ID: uint8(id)}
	copy(key.Secret[:], secret)
	return key, nil
}
