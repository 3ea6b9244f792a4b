package fleetconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadAcceptsDeployedFleetWithConfigSync(t *testing.T) {
	f, err := Read("../../../deploy/fleet-configuration.jsonnet", "n1")
	require.NoError(t, err)
	assert.Equal(t, &ConfigSync{Folder: "/var/lib/topazpost/configuration-n1"}, f.ConfigSync)
	assert.Equal(t, "/var/lib/topazpost/seat-n1", f.ConsensusGroup.Folder)
	assert.Contains(t, f.Describe(), "operations, tenants and limits are taken in service from versions that the council agrees on, "+
		"and the last version is kept in /var/lib/topazpost/configuration-n1")
}

func TestReadRejectsInvalidConfigSync(t *testing.T) {
	for written, want := range map[string]string{
		"configuration: {}": ":3: configuration: needs a council, whose seats agree on versions; name seats in council.seats, or leave it out",
		"council: { seats: ['a'] }, configuration: { folder: 'here' }": `:3: configuration.folder: "here" is no absolute path; ` +
			`write it as "/var/lib/topazpost/configuration-{name}"`,
		"council: { seats: ['a'] }, configuration: { folder: '/x/{name}' }": `"../n" can't be part of a path`,
		"council: { seats: ['a'] }, configuration: { path: '/x' }":          "configuration",
	} {
		_, err := Read(writeFleetFile(t, "{\n fleet: 'x', bind: '127.0.0.1:7946',\n "+written+",\n}"), "../n")
		assert.ErrorContains(t, err, want, written)
	}
	f, err := Read(writeFleetFile(t, "{\n fleet: 'x', bind: '127.0.0.1:7946',\n council: { seats: ['a'] }, configuration: {},\n}"), "n")
	require.NoError(t, err)
	assert.Contains(t, f.Describe(), "in memory only, so that a start is from the node's file")
}
