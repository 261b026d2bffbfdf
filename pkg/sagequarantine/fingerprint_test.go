package sagequarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprintsDifferByEachPart(t *testing.T) {
	seen := map[Fingerprint]string{FingerprintOf("acc", "POST", "h/p", []byte("body")): "the request"}
	for name, f := range map[string]Fingerprint{
		"account":               FingerprintOf("other", "POST", "h/p", []byte("body")),
		"method":                FingerprintOf("acc", "PUT", "h/p", []byte("body")),
		"path":                  FingerprintOf("acc", "POST", "h/q", []byte("body")),
		"body":                  FingerprintOf("acc", "POST", "h/p", []byte("bodY")),
		"where one part ends":   FingerprintOf("accP", "OST", "h/p", []byte("body")),
		"where the body begins": FingerprintOf("acc", "POST", "h/pb", []byte("ody")),
		"no body":               FingerprintOf("acc", "POST", "h/p", nil),
	} {
		require.Empty(t, seen[f], name)
		seen[f] = name
	}
	require.Equal(t, FingerprintOf("a", "GET", "h/p", nil), FingerprintOf("a", "GET", "h/p", []byte{}))
}

func TestFingerprintText(t *testing.T) {
	f := FingerprintOf("acc", "POST", "h/p", nil)
	got, err := ParseFingerprint(f.String())
	require.NoError(t, err)
	require.Equal(t, f, got)
	require.Equal(t, "000000000000000a", Fingerprint(10).String())
	for _, s := range []string{"", "a", "00000000000000zz", "00000000000000000a", "-00000000000000a"} {
		_, err := ParseFingerprint(s)
		require.ErrorIs(t, err, ErrFingerprint, s)
	}
}
