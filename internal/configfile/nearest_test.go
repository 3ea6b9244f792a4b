package configfile

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNearestSuggestsSimilarName(t *testing.T) {
	known := []string{"catalogue", "delivery-quote", "hold"}
	assert.Equal(t, "delivery-quote", Nearest("delivery-qoute", known))
	assert.Equal(t, "hold", Nearest("hodl", known))
	assert.Empty(t, Nearest("zzzzzz", known))
}
