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

// ErrGuaranteeViolated reports a lost or crossed answer, a booking that ran twice, or a wrong outcome
// of a booking.
var ErrGuaranteeViolated = errors.New("guarantee violated")

// Size of the system, seed of the load, and the interval between samples of the engines' load.
const (
	routers        = 3
	engines        = 6
	chatCallers    = 24
	bookingCallers = 6
	seed           = 1
	sampleInterval = 20 * time.Millisecond
)

var dataCentres = []string{"derby", "leicester", "nottingham"}

// Summary is the result of a demo.
type Summary struct {
	sageworkload.Tally
	sageworkload.Audit
	CacheReuse float64 `json:"cache_reuse"`
	LoadSkew   float64 `json:"load_skew"`
	// ControlBytesPerSecond is the mean over the routers. It counts all traffic with other nodes and
	// with the platform except claims, which are attributed to their requests.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	ClaimBytesPerBooking  float64 `json:"claim_bytes_per_booking"`
}

// Demo runs the system under load until an instant. Its exported fields are set before Run.
type Demo struct {
	Until time.Time
	// Progress receives one line for each event of the run; nil discards them.
	Progress io.Writer
	// Log receives the nodes' logs; nil discards them.
	Log io.Writer

	system *sagefleet.Embedded
}

func (d *Demo) logf(format string, args ...any) {
	if d.Progress != nil {
		_, _ = fmt.Fprintf(d.Progress, "demo: "+format+"\n", args...)
	}
}

// Run runs the demo. It returns the summary together with [ErrGuaranteeViolated] if a guarantee was
// violated.
func (d *Demo) Run(ctx context.Context) (Summary, error) {
	d.system = &sagefleet.Embedded{Layout: sagefleet.NewLayout(routers, engines, dataCentres), Log: d.Log}
	if err := d.system.Start(ctx); err != nil {
		return Summary{}, fmt.Errorf("demo: %w", err)
	}
	d.logf("%d routers, %d engines and %d applications are up, ticket 1 is in force", routers, engines, len(dataCentres))
	sum, err := d.runLoad(ctx)
	d.logf("stopping the routers")
	if serr := d.system.Stop(); err == nil && serr != nil {
		err = fmt.Errorf("demo: %w", serr)
	}
	return sum, err
}

// runLoad runs the load, takes a data centre out of service and back meanwhile, and computes the
// summary.
func (d *Demo) runLoad(ctx context.Context) (Summary, error) {
	start := time.Now()
	load := &sageworkload.Load{
		Entries: d.system.Layout.Entries(), Key: sagefleet.AccountKey, Model: sagefleet.Model, Service: sagefleet.ServiceRoute,
		ChatCallers: chatCallers, BookingCallers: bookingCallers, Seed: seed, Until: d.Until,
	}
	before := d.system.ControlBytes()
	var loadSkew skew
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { d.sample(&loadSkew, done) })
	wg.Go(func() { d.cycleDataCentre(ctx, start) })
	tally := load.Run(ctx)
	close(done)
	wg.Wait()
	sum := Summary{Tally: tally, Audit: load.Audit(d.system.Executions()), CacheReuse: tally.CacheReuse(), LoadSkew: loadSkew.mean()}
	sum.ControlBytesPerSecond = float64(d.system.ControlBytes()-before) / time.Since(start).Seconds() / routers
	sum.ClaimBytesPerBooking = float64(d.system.ClaimBytes()) / float64(max(1, sum.Bookings))
	return sum, sum.check()
}

// check returns [ErrGuaranteeViolated] if a guarantee was violated or no request was completed.
func (s *Summary) check() error {
	violations := s.Lost + s.WrongAnswers + s.ExecutedTwice + s.FalseNotRun + s.FalseComplete
	if violations == 0 && s.Complete > 0 {
		return nil
	}
	return fmt.Errorf("lost %d, wrong %d, executed twice %d, false not run %d, false complete %d: %w", s.Lost, s.WrongAnswers, s.ExecutedTwice, s.FalseNotRun, s.FalseComplete, ErrGuaranteeViolated)
}

// cycleDataCentre takes the second data centre out of service after a third of the run and puts it back
// after two thirds.
func (d *Demo) cycleDataCentre(ctx context.Context, start time.Time) {
	third := d.Until.Sub(start) / 3
	for i, inService := range []bool{false, true} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(i+1) * third))):
		}
		if err := d.system.Submit(ctx, 0, sagefleet.DataCentreTicket(uint64(i+2), dataCentres[1], inService)); err != nil {
			d.logf("ticket %d was not accepted: %v", i+2, err)
			continue
		}
		d.logf("ticket %d: data centre %s in service: %v", i+2, dataCentres[1], inService)
	}
}
