// Package sageobject provides access to the platform's Object API: named values with versions,
// conditional updates and watches.
//
// A [Store.Put] or [Store.Delete] that returns [ErrUnknown] may have taken effect; only a later
// [Store.Get] can show whether it did. After [ErrUnavailable] and [ErrConflict] nothing was written.
//
// [Memory] is a small in-memory store for tests and for the platform's stand-in; [Client] accesses a
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
