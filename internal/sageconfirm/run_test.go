package sageconfirm

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sageworkload"
)

func TestSummaryCheck(t *testing.T) {
	good := Summary{Tally: sageworkload.Tally{Complete: 5}, BegunInForce: 3, BegunAtReturn: 3}
	require.NoError(t, good.Check())
	for name, s := range map[string]Summary{
		"nothing complete": {},
		"wrong answer":     {Tally: sageworkload.Tally{Complete: 5, WrongAnswers: 1}},
		"booked twice":     {Tally: sageworkload.Tally{Complete: 5}, Audit: sageworkload.Audit{ExecutedTwice: 1}},
		"new work":         {Tally: sageworkload.Tally{Complete: 5}, BegunInForce: 3, BegunAtReturn: 4},
	} {
		require.ErrorIs(t, s.Check(), ErrGuaranteeViolated, name)
	}
}

func TestUnknownScenario(t *testing.T) {
	_, err := (&Run{Scenario: "rain"}).Do(context.Background())
	require.ErrorIs(t, err, ErrUnknownScenario)
}
