package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// get reads JSON; into may be nil.
func (b *Bed) get(url string, into any) error { return b.call(http.MethodGet, url, nil, into) }

func (b *Bed) post(url string, body, into any) error { return b.call(http.MethodPost, url, body, into) }

// call makes an HTTP call. A body of type string goes out as it is, any other as JSON.
func (b *Bed) call(method, url string, body, into any) error {
	var reader io.Reader
	switch body := body.(type) {
	case nil:
	case string:
		reader = strings.NewReader(body)
	default:
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := b.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s: %s", method, url, answer.Status, strings.TrimSpace(string(text)))
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(text, into)
}
