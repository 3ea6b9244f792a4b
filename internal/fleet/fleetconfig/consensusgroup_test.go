package fleetconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConsensusFolderIsPerNode(t *testing.T) {
	text := "{\n fleet: 'x',\n bind: '127.0.0.1:7946',\n council: { seats: ['n1'],\n  folder: '/var/lib/topazpost/seat-{name}' },\n}"
	path := writeFleetFile(t, text)
	f, err := Read(path, "n1")
	require.NoError(t, err)
	assert.Equal(t, "/var/lib/topazpost/seat-n1", f.ConsensusGroup.Folder)
	assert.Contains(t, f.Describe(), "stored in /var/lib/topazpost/seat-n1")
	_, err = Read(path, "../n1")
	assert.ErrorContains(t, err, path+":5: council.folder: contains {name}, but the node's name")
	_, err = Read(writeFleetFile(t, "{\n fleet: 'x',\n bind: '127.0.0.1:7946',\n council: { seats: ['n1'],\n  folder: 'seat' },\n}"), "n1")
	assert.ErrorContains(t, err, ":5: council.folder: \"seat\" is not an absolute path")
}
