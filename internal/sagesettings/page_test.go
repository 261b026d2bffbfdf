package sagesettings

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The page is made from the type; this fails when a field changed and the page did not.
func TestPageIsUpToDate(t *testing.T) {
	b, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	assert.Equal(t, MarkdownPage(), string(b), "run: sagestand settings page > docs/SETTINGS.md")
}
