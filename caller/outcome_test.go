package caller

import (
	"context"
	"errors"
	"testing"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
)

// Guards against the outcome Unknown for a request that started while quic-go closed the connection after the
// GOAWAY of a draining agent, and against NotRun for a request whose connection was closed for another reason.
func TestClosedAfterGoAwayIsNotRun(t *testing.T) {
	noError := quic.ApplicationErrorCode(http3.ErrCodeNoError)
	cases := []struct {
		closed quic.ApplicationError
		want   Outcome
	}{
		{quic.ApplicationError{ErrorCode: noError}, NotRun},
		{quic.ApplicationError{ErrorCode: noError, Remote: true}, Unknown},
		{quic.ApplicationError{ErrorCode: noError, ErrorMessage: "caller is closed"}, Unknown},
		{quic.ApplicationError{ErrorCode: quic.ApplicationErrorCode(http3.ErrCodeInternalError)}, Unknown},
	}
	for _, c := range cases {
		err := errors.Join(&c.closed, errors.New("stream closed"))
		require.Equal(t, c.want, classifyError(context.Background(), err, true).outcome, c.closed)
	}
}
