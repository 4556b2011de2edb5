// Package shrequest is the life of one request as two state machines.
//
// # Model
//
// A Receiver runs on the entry VM that a caller sent its request to. It asks
// for a choice, has the opening record copied, starts attempts, and tells the
// caller one outcome. An Executor runs one attempt on the entry VM that owns
// the chosen backend server: it reserves a slot, opens the claim of once-only
// work, dispatches, and closes the claim. A Receiver starts an Executor on its
// own VM with Execute and on another VM with Forward.
//
// Apply takes an event and the time and returns effects, which a shell carries
// out. Neither machine reads a clock or does I/O.
//
// # Outcomes
//
// Each result of an attempt is certain or uncertain:
//
//	result                         ran?        idempotent       once-only
//	complete                       yes         answer           close claim, answer
//	connection refused             no          retry            close as not run, retry
//	shed                           no          retry            close as not run, retry
//	not sent                       no          retry            close as not run, retry
//	broken off                     uncertain   verdict, retry   cancel
//	timeout to first byte          uncertain   cancel, retry    cancel
//	request ID mismatch            uncertain   cancel, retry    cancel
//	cancellation: not run          no          retry            close as not run, retry;
//	                                                           cancel again if before
//	                                                           the dispatch deadline
//	cancellation: running          yes         retry            close as unknown
//	cancellation: done             yes         retry            close as unknown
//	cancellation: no answer        uncertain   retry            repeat, close as unknown
//
// The caller is told not-run only if every attempt certainly did not run. A
// result that a Receiver does not know is uncertain.
//
// # Retries
//
// Idempotent requests are retried on another backend server within the retry
// budget and the deadline. After a broken connection the Executor waits for the
// verdict whether the backend server died: a request that crashes backend
// servers must not take down the next one before it has a strike. If it died,
// the next attempt is a solo run.
//
// # Once-only work
//
// An attempt is dispatched only under a granted claim, and within
// DispatchWindow of asking for it by monotonic time. The claim names the
// backend server, its incarnation and an absolute dispatch deadline, which the
// backend server enforces. Another attempt needs a certain not-run and a claim
// with a higher attempt number.
//
// If a Receiver loses its Executor it settles: SettleClaim forbids a claim if
// there is none. If there is one, the Receiver waits for its outcome, and after
// the dispatch deadline plus clock error cancels at the recorded backend
// server. Not run permits another attempt. Done leaves the Executor one second
// to record the answer; after that the outcome is unknown for good.
//
// This relies on the following properties of control: a claim is granted only
// if none is in progress, answered or unknown under the key; a claim of the
// same request is granted only with a higher attempt number; and SettleClaim
// forbids later claims of the request unless the claim of the key is its own.
//
// A resend of a key finds the claim of the first request and settles likewise.
// While that one is in progress a resend is never told not-run.
package shrequest
