package sageclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"time"
)

// minuteLayout is the time layout of the minute in object keys.
const minuteLayout = "200601021504"

// Prefix is the common prefix of the keys of all claim objects.
const Prefix = "claims/"

// Rules determine the object that holds a key's claim and how long the key is valid. They must be the
// same on every node. After a change of Bucket or Shards, no key may be repeated for the length of
// Retention.
type Rules struct {
	// Bucket is the length of the interval of creation times whose claims share objects.
	Bucket time.Duration
	// Shards is the number of objects per bucket.
	Shards int
	// Retention is how long a key is accepted after its creation.
	Retention time.Duration
	// MaxAhead is how far a key's creation time may be ahead of this node's clock.
	MaxAhead time.Duration
}

// Check reports a key that can't be accepted at now, because it is past its retention deadline or its
// creation time is too far ahead.
//
// The retention check prevents running a key whose claim may have been deleted. Objects are deleted
// only [DeleteMargin] after the retention deadline, so nodes whose clocks differ by less than that
// agree.
func (r *Rules) Check(k Key, now time.Time) error {
	if now.After(r.RetainUntil(k)) {
		return fmt.Errorf("created %s, accepted until %s: %w", k.CreatedAt.UTC().Format(time.RFC3339), r.RetainUntil(k).UTC().Format(time.RFC3339), ErrKeyExpired)
	}
	if k.CreatedAt.After(now.Add(r.MaxAhead)) {
		return fmt.Errorf("created %s: %w", k.CreatedAt.UTC().Format(time.RFC3339), ErrKeyInFuture)
	}
	return nil
}

// DeleteMargin is how long an object is kept after the latest retention deadline of its keys.
const DeleteMargin = 10 * time.Minute

// RetainUntil returns the retention deadline of a key.
func (r *Rules) RetainUntil(k Key) time.Time { return k.CreatedAt.Add(r.Retention) }

// BucketStart returns the start of the bucket that contains t.
func (r *Rules) BucketStart(t time.Time) time.Time { return t.Truncate(r.Bucket) }

// BucketObjectKey returns the object key of a shard of a bucket.
func (r *Rules) BucketObjectKey(bucket time.Time, shard int) string {
	b := bucket.UTC()
	return fmt.Sprintf("%s%s/%013d-%02d", Prefix, b.Format(minuteLayout), b.UnixMilli(), shard)
}

// ObjectKey returns the key of the object that holds the claim of k.
func (r *Rules) ObjectKey(account string, k Key) string {
	sum := sha256.Sum256([]byte(account + "\x00" + k.Text))
	return r.BucketObjectKey(r.BucketStart(k.CreatedAt), int(binary.BigEndian.Uint32(sum[:])%uint32(r.Shards)))
}

// Fingerprint returns a short hash of a request. It distinguishes different requests that use the same
// key.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	_, _ = io.WriteString(h, method+"\x00"+path+"\x00")
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// MinutePrefix returns the prefix of the claim objects whose buckets start in the minute of t. A list
// of one minute stays small, however many claims there are in total.
func (r *Rules) MinutePrefix(t time.Time) string { return Prefix + t.UTC().Format(minuteLayout) + "/" }

// ParseBucketStart parses the start of the bucket from the key of a claim object.
func (r *Rules) ParseBucketStart(object string) (time.Time, error) {
	var minute, shard int
	var millis int64
	if n, err := fmt.Sscanf(object, Prefix+"%d/%d-%d", &minute, &millis, &shard); err != nil || n != 3 {
		return time.Time{}, fmt.Errorf("claim object %q: %w", object, ErrInvalidKey)
	}
	return time.UnixMilli(millis), nil
}
