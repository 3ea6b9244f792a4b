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
	assert.Contains(t, f.Describe(), "operations, tenants and limits come from versions that the council agrees on, "+
		"and the latest is stored in /var/lib/topazpost/configuration-n1")
}

func TestReadRejectsInvalidConfigSync(t *testing.T) {
	for written, want := range map[string]string{
		"configuration: {}": ":3: configuration: requires council.seats, the nodes that agree on versions; set council.seats, or remove configuration",
		"council: { seats: ['a'] }, configuration: { folder: 'here' }": `:3: configuration.folder: "here" is not an absolute path; ` +
			`write for example "/var/lib/topazpost/configuration-{name}"`,
		"council: { seats: ['a'] }, configuration: { folder: '/x/{name}' }": `"../n" cannot be part of a path`,
		"council: { seats: ['a'] }, configuration: { path: '/x' }":          "configuration",
	} {
		_, err := Read(writeFleetFile(t, "{\n fleet: 'x', bind: '127.0.0.1:7946',\n "+written+",\n}"), "../n")
		assert.ErrorContains(t, err, want, written)
	}
	f, err := Read(writeFleetFile(t, "{\n fleet: 'x', bind: '127.0.0.1:7946',\n council: { seats: ['a'] }, configuration: {},\n}"), "n")
	require.NoError(t, err)
	assert.Contains(t, f.Describe(), "in memory only, so a restart uses the node's file")
}
