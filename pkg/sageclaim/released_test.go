package sageclaim

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Prevents a claim that was released from being granted to a copy of its entry that arrives late: the key may run elsewhere.
func TestReleasedClaimIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Committer{Store: &sageobject.Memory{}}
		defer c.Wait()
		e := claim("k", "a")
		for _, step := range []Entry{e, followUp(OpRelease, "k", "a", "")} {
			_, err := c.Commit(t.Context(), testObject, step)
			require.NoError(t, err)
		}
		_, err := c.Commit(t.Context(), testObject, e)
		require.ErrorIs(t, err, ErrClaimNotTaken)
	})
}

// Prevents the late outcome of a claim that was released from taking the key, which may be claimed again.
func TestOutcomeOfReleasedClaimHasNoEffect(t *testing.T) {
	for _, free := range []Entry{followUp(OpRelease, "k", "a", ""), followUp(OpResolve, "k", "a", sagewire.NotRun)} {
		var log ClaimLog
		taken, finish := claim("k", "a"), followUp(OpFinish, "k", "a", sagewire.Complete)
		require.True(t, log.Apply(&taken))
		require.True(t, log.Apply(&free))
		require.False(t, log.Apply(&finish))
		r, _ := log.Record("haller", "k")
		require.Equal(t, StateReleased, r.State)
	}
}
