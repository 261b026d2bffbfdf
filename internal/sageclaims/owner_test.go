package sageclaims

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagerpc/claim"
	"sagestand.example/sagestand/pkg/sageclaim"
)

// scriptedOwner answers each commit with a record made from its entry.
type scriptedOwner func(e *sageclaim.Entry) sageclaim.Record

func (o scriptedOwner) Commit(_ context.Context, r *claim.CommitRequest) (*claim.CommitResponse, error) {
	e, err := sageclaim.DecodeEntry(r.GetEntry())
	if err != nil {
		return nil, err
	}
	rec := o(&e)
	b, err := json.Marshal(&rec)
	return &claim.CommitResponse{Record: b}, err
}

// keyOwnedBy returns a key whose object a node of the fleet owns.
func keyOwnedBy(t *testing.T, s *Service, addr string) string {
	t.Helper()
	for i := range 100 {
		k, err := sageclaim.ParseKey(newKey(fmt.Sprint(i)))
		require.NoError(t, err)
		if s.owner(s.Rules.ObjectKey("haller", k)) == addr {
			return k.Text
		}
	}
	t.Fatal("no key is owned by " + addr)
	return ""
}

// Prevents a booking from being sent although its claim was released, or is finished, at the owner of its key.
func TestClaimThatIsNoLongerHeldIsNotGranted(t *testing.T) {
	for _, state := range []sageclaim.State{sageclaim.StateReleased, sageclaim.StateFinished} {
		runFleet(t, 2, func(t *testing.T, f *fleet) {
			s := f.nodes[0]
			s.Dial = func(string) claim.Claims {
				return scriptedOwner(func(e *sageclaim.Entry) sageclaim.Record {
					r := sageclaim.Record{Account: e.Account, Key: e.Key, ClaimID: e.ClaimID, Fingerprint: e.Fingerprint, Deadline: e.Deadline, State: state}
					if state == sageclaim.StateFinished {
						r.Outcome = "complete"
					}
					return r
				})
			}
			c, _, ref := s.Claim(t.Context(), request(keyOwnedBy(t, s, "n1"), "{}"))
			require.Nil(t, c)
			require.NotNil(t, ref)
		})
	}
}

// Prevents an owner's answer for another key from being taken for the claim of this one: both nodes would send the booking.
func TestOwnersAnswerForAnotherKeyIsNoClaim(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		s := f.nodes[0]
		key := keyOwnedBy(t, s, "n1")
		first, _, ref := f.nodes[1].Claim(t.Context(), request(key, "{}"))
		require.Nil(t, ref)
		require.NotNil(t, first)
		s.Dial = func(string) claim.Claims {
			return scriptedOwner(func(e *sageclaim.Entry) sageclaim.Record {
				return sageclaim.Record{Account: e.Account, Key: "other-" + e.Key, ClaimID: e.ClaimID, Fingerprint: e.Fingerprint, Deadline: e.Deadline, State: sageclaim.StateClaimed}
			})
		}
		c, _, ref := s.Claim(t.Context(), request(key, "{}"))
		require.Nil(t, c)
		require.NotNil(t, ref)
	})
}

// Prevents a node with other rules from having a key claimed in a second object, where no other claim of the key is seen.
func TestOwnerRejectsKeyOfAnotherObject(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		s, r := f.nodes[0], request(newKey("a"), "{}")
		key, err := sageclaim.ParseKey(r.IdempotencyKey)
		require.NoError(t, err)
		e := sageclaim.Entry{Op: sageclaim.OpClaim, Account: r.Account, Key: key.Text, ClaimID: r.ID, Fingerprint: "f", Deadline: r.Deadline}
		b, err := json.Marshal(&e)
		require.NoError(t, err)
		own := s.Rules.ObjectKey(r.Account, key)
		_, err = s.Commit(t.Context(), &claim.CommitRequest{Object: own, Entry: b})
		require.NoError(t, err)
		other := s.Rules
		other.Bucket *= 1000
		_, err = s.Commit(t.Context(), &claim.CommitRequest{Object: other.ObjectKey(r.Account, key), Entry: b})
		require.ErrorIs(t, err, sageclaim.ErrInvalidEntry)
	})
}
