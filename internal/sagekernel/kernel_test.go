package sagekernel

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recorder is a service that notes its start and stop, and takes a while to stop.
type recorder struct {
	name  string
	takes time.Duration
	fail  error
	log   chan string
}

func (r *recorder) Run(ctx context.Context) error {
	if r.fail != nil {
		return r.fail
	}
	<-ctx.Done()
	time.Sleep(r.takes)
	r.log <- r.name
	return nil
}

func TestStopInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := make(chan string, 3)
		k := &Kernel{StopTimeout: time.Minute}
		k.Register("store", &recorder{name: "store", log: log})
		k.Register("config", &recorder{name: "config", log: log, takes: time.Second})
		k.Register("entry", &recorder{name: "entry", log: log, takes: 10 * time.Second})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.NoError(t, k.Run(ctx))
		assert.Equal(t, []string{"entry", "config", "store"}, []string{<-log, <-log, <-log})
	})
}

// A service hangs in its stop. The operator would see a process that never exits; the kernel gives
// up on it at the deadline, stops the rest and names it.
func TestStopDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := make(chan string, 2)
		k := &Kernel{StopTimeout: 5 * time.Second}
		k.Register("store", &recorder{name: "store", log: log})
		k.Register("hung", &recorder{name: "hung", log: log, takes: time.Hour})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		err := k.Run(ctx)
		require.ErrorIs(t, err, ErrStopTimeout)
		assert.Contains(t, err.Error(), "hung")
		assert.Equal(t, "store", <-log)
		assert.Equal(t, "hung", <-log)
	})
}

func TestFailureStopsOtherServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		boom := errors.New("port taken")
		log := make(chan string, 1)
		k := &Kernel{StopTimeout: time.Second}
		k.Register("store", &recorder{name: "store", log: log})
		k.Register("entry", &recorder{fail: boom})
		require.ErrorIs(t, k.Run(context.Background()), boom)
		assert.Equal(t, "store", <-log)
	})
}

func TestLookup(t *testing.T) {
	k := &Kernel{}
	k.Register("answer", 42)
	n, err := Lookup[int](k, "answer")
	require.NoError(t, err)
	assert.Equal(t, 42, n)
	_, err = Lookup[string](k, "answer")
	require.ErrorIs(t, err, ErrWrongType)
	_, err = Lookup[int](k, "question")
	require.ErrorIs(t, err, ErrServiceNotFound)
	assert.Panics(t, func() { k.Register("answer", 43) })
}
