package sagedemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sageworkload"
)

// ErrGuaranteeViolated reports that a promise was broken: an answer lost or crossed, a booking run twice.
var ErrGuaranteeViolated = errors.New("a promise was broken")

// Shape of the demo.
const (
	routers   = 3
	engines   = 6
	chats     = 24
	bookers   = 6
	seed      = 1
	sampleGap = 20 * time.Millisecond
)

var dataCentres = []string{"derby", "leicester", "nottingham"}

// Summary is the result of a demo.
type Summary struct {
	sageworkload.Tally
	sageworkload.Audit
	CacheReuse float64 `json:"cache_reuse"`
	LoadSkew   float64 `json:"load_skew"`
	// ControlBytesPerSecond is the mean of a router: all traffic with other nodes and the platform but
	// for claims, which belong to their requests.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	ClaimBytesPerBooking  float64 `json:"claim_bytes_per_booking"`
}

// Demo runs the system under load until an instant. Its exported fields are set before Run.
type Demo struct {
	Until time.Time
	// Progress takes a line for each thing that happens; nil for none.
	Progress io.Writer
	// Log takes the nodes' logs; nil for none.
	Log io.Writer

	system *sagefleet.Embedded
}

func (d *Demo) say(format string, args ...any) {
	if d.Progress != nil {
		_, _ = fmt.Fprintf(d.Progress, "demo: "+format+"\n", args...)
	}
}

// Run runs the demo. It returns [ErrGuaranteeViolated], with the summary, if a promise was broken.
func (d *Demo) Run(ctx context.Context) (Summary, error) {
	d.system = &sagefleet.Embedded{Layout: sagefleet.NewLayout(routers, engines, dataCentres), Log: d.Log}
	if err := d.system.Start(ctx); err != nil {
		return Summary{}, fmt.Errorf("demo: %w", err)
	}
	d.say("%d routers, %d engines and %d applications are up, ticket 1 is in force", routers, engines, len(dataCentres))
	sum, err := d.measure(ctx)
	d.say("stopping the routers")
	if serr := d.system.Stop(); err == nil && serr != nil {
		err = fmt.Errorf("demo: %w", serr)
	}
	return sum, err
}

// measure runs the load with the exit and the return of a data centre in the middle.
func (d *Demo) measure(ctx context.Context) (Summary, error) {
	start := time.Now()
	load := &sageworkload.Load{
		Entries: d.system.Layout.Entries(), Key: sagefleet.AccountKey, Model: sagefleet.Model, Service: sagefleet.ServiceRoute,
		ChatCallers: chats, BookingCallers: bookers, Seed: seed, Until: d.Until,
	}
	before := d.system.ControlBytes()
	var skew skew
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { d.sample(&skew, done) })
	wg.Go(func() { d.exitAndReturn(ctx, start) })
	tally := load.Run(ctx)
	close(done)
	wg.Wait()
	sum := Summary{Tally: tally, Audit: load.Audit(d.system.Executions()), CacheReuse: tally.CacheReuse(), LoadSkew: skew.mean()}
	sum.ControlBytesPerSecond = float64(d.system.ControlBytes()-before) / time.Since(start).Seconds() / routers
	sum.ClaimBytesPerBooking = float64(d.system.ClaimBytes()) / float64(max(1, sum.Bookings))
	return sum, sum.check()
}

// check returns [ErrGuaranteeViolated] if a promise was broken.
func (s *Summary) check() error {
	bad := s.Lost + s.WrongAnswers + s.ExecutedTwice + s.FalseNotRun + s.FalseComplete
	if bad == 0 && s.Complete > 0 {
		return nil
	}
	return fmt.Errorf("lost %d, wrong %d, executed twice %d, false not run %d, false complete %d: %w", s.Lost, s.WrongAnswers, s.ExecutedTwice, s.FalseNotRun, s.FalseComplete, ErrGuaranteeViolated)
}

// exitAndReturn takes the second data centre out after a third of the time and back after two.
func (d *Demo) exitAndReturn(ctx context.Context, start time.Time) {
	third := d.Until.Sub(start) / 3
	for i, inService := range []bool{false, true} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(i+1) * third))):
		}
		if err := d.system.Submit(ctx, 0, sagefleet.DataCentreTicket(uint64(i+2), dataCentres[1], inService)); err != nil {
			d.say("ticket %d was not accepted: %v", i+2, err)
			continue
		}
		d.say("ticket %d: data centre %s in service: %v", i+2, dataCentres[1], inService)
	}
}
