// Package sageobject is the system's view of the platform's Object API: named values with
// versions, conditional updates and watches.
//
// The one rule that callers must keep in mind: a [Store.Put] that returns [ErrUnknown] may have
// taken effect. Only a later [Store.Get] can tell. [ErrUnavailable] and [ErrConflict] say for
// certain that nothing was written.
//
// [Memory] is a small store in memory for tests and for the platform stand-in; [Client] speaks to a
// store over HTTP.
//
// # Usage
//
//	o, err := st.Get(ctx, "config/head")
//	if errors.Is(err, sageobject.ErrNotFound) {
//		...
//	}
//	v, err := st.Put(ctx, "config/head", next, o.Version)
package sageobject
