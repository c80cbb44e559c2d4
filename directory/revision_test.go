package directory_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
)

// Guards against revisions that compare by number across eras, and against eras in the numbers that operators see.
func TestRevision(t *testing.T) {
	highest, err := directory.NewRevision(1, directory.MaxStoreRevision)
	require.NoError(t, err)
	later, err := directory.NewRevision(2, 0)
	require.NoError(t, err)
	require.Less(t, highest, later)
	require.Equal(t, uint16(1), highest.Era())
	require.Equal(t, uint64(directory.MaxStoreRevision), highest.Number())
	require.Equal(t, "2:0", later.String())
	require.Equal(t, "17", directory.Revision(17).String())
	_, err = directory.NewRevision(0, directory.MaxStoreRevision+1)
	require.Error(t, err)
	encoded, err := json.Marshal(later)
	require.NoError(t, err)
	require.JSONEq(t, "562949953421312", string(encoded))
}
