package sagesettings

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// docs/SETTINGS.md must be generated again whenever a field or a default changes.
func TestPageIsUpToDate(t *testing.T) {
	b, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	assert.Equal(t, MarkdownPage(), string(b), "run: sagestand settings page > docs/SETTINGS.md")
}
