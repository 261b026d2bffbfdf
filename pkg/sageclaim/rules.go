package sageclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"time"
)

// minuteLayout names a minute.
const minuteLayout = "200601021504"

// Prefix is the prefix of the claim objects' keys.
const Prefix = "claims/"

// Rules say where a key's claim stands and how long. They are the same on every node; changing
// Bucket or Shards needs a pause as long as Retention without repeats.
type Rules struct {
	// Bucket is the span of creation times whose claims share objects.
	Bucket time.Duration
	// Shards is the number of objects of a bucket.
	Shards int
	// Retention is how long after its creation a key is accepted.
	Retention time.Duration
	// MaxAhead is how far in the future, by this node's clock, a key may have been created.
	MaxAhead time.Duration
}

// Check reports whether a key can be accepted at now.
//
// It guards against running a key whose claim may have been deleted. Objects are deleted only
// [DeleteMargin] after the retention deadline, so that nodes whose clocks differ by less agree.
func (r *Rules) Check(k Key, now time.Time) error {
	if now.After(r.RetainUntil(k)) {
		return fmt.Errorf("created %s, accepted until %s: %w", k.CreatedAt.UTC().Format(time.RFC3339), r.RetainUntil(k).UTC().Format(time.RFC3339), ErrKeyExpired)
	}
	if k.CreatedAt.After(now.Add(r.MaxAhead)) {
		return fmt.Errorf("created %s: %w", k.CreatedAt.UTC().Format(time.RFC3339), ErrKeyInFuture)
	}
	return nil
}

// DeleteMargin is how long after the last retention deadline in it an object is kept.
const DeleteMargin = 10 * time.Minute

// RetainUntil returns the retention deadline of a key.
func (r *Rules) RetainUntil(k Key) time.Time { return k.CreatedAt.Add(r.Retention) }

// BucketOf returns the start of the bucket that holds t.
func (r *Rules) BucketStart(t time.Time) time.Time { return t.Truncate(r.Bucket) }

// ObjectAt returns the key of a bucket's object.
func (r *Rules) BucketObjectKey(bucket time.Time, shard int) string {
	b := bucket.UTC()
	return fmt.Sprintf("%s%s/%013d-%02d", Prefix, b.Format(minuteLayout), b.UnixMilli(), shard)
}

// Object returns the key of the object that holds a claim.
func (r *Rules) ObjectKey(account string, k Key) string {
	sum := sha256.Sum256([]byte(account + "\x00" + k.Text))
	return r.BucketObjectKey(r.BucketStart(k.CreatedAt), int(binary.BigEndian.Uint32(sum[:])%uint32(r.Shards)))
}

// Fingerprint tells requests apart that bear the same key.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	_, _ = io.WriteString(h, method+"\x00"+path+"\x00")
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// MinutePrefix returns the prefix of the claim objects whose buckets start in the minute of t. A list
// of one minute stays small however many bookings there are.
func (r *Rules) MinutePrefix(t time.Time) string { return Prefix + t.UTC().Format(minuteLayout) + "/" }

// BucketOfObject reads the start of the bucket from an object's key.
func (r *Rules) ParseBucketStart(object string) (time.Time, error) {
	var minute, shard int
	var millis int64
	if n, err := fmt.Sscanf(object, Prefix+"%d/%d-%d", &minute, &millis, &shard); err != nil || n != 3 {
		return time.Time{}, fmt.Errorf("claim object %q: %w", object, ErrInvalidKey)
	}
	return time.UnixMilli(millis), nil
}
