// Package shrequest handles one request with two state machines.
//
// # Model
//
// A Receiver runs on the entry VM that a caller sent its request to. It asks
// for a routing choice, has the opening record copied, starts attempts, and
// tells the caller one outcome. An Executor runs one attempt on the entry VM
// that owns the chosen backend server: it reserves a slot, opens the claim of
// once-only work, dispatches the request, and closes the claim. A Receiver
// starts an Executor on its own VM with Execute and on another VM with Forward.
//
// Apply takes an event and the time and returns effects. Neither machine reads
// a clock or does I/O; the code that runs a machine, called the driver, carries
// out the effects and delivers the events. Package shentry holds the drivers.
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
//	connection broken              uncertain   check, retry     cancel
//	timeout to first byte          uncertain   cancel, retry    cancel
//	request ID mismatch            uncertain   cancel, retry    cancel
//	cancellation: not run          no          retry            close as not run, retry;
//	                                                           cancel again if before
//	                                                           the dispatch deadline
//	cancellation: running          yes         retry            close as unknown
//	cancellation: done             yes         retry            close as unknown
//	cancellation: no answer        uncertain   retry            repeat, close as unknown
//
// "Check" stands for the crash check described under Retries. The caller is
// told not-run only if every attempt certainly did not run. A result that the
// Receiver does not recognize is uncertain.
//
// # Retries
//
// Idempotent requests are retried on another backend server within the retry
// budget and the deadline. After a broken connection the Executor waits for the
// crash check, which tells whether the backend server crashed: the digest of a
// request that crashes backend servers must be suspect before the request
// reaches the next one. If the backend server crashed, the next attempt is a
// solo run, which takes all slots of an idle backend server.
//
// # Once-only work
//
// An attempt is dispatched only under a granted claim, and within
// DispatchWindow of requesting the claim by monotonic time. The claim names the
// backend server, its incarnation and an absolute dispatch deadline, which the
// backend server enforces. Another attempt requires that the one before
// certainly did not run, and a claim with a higher attempt number.
//
// If a Receiver loses contact with its Executor it settles the request:
// SettleClaim forbids a claim if there is none. If there is one, the Receiver
// waits for its outcome, and after the dispatch deadline plus the clock error
// sends a cancellation to the backend server that the claim names. If the
// backend server answers that the attempt did not run, another attempt may
// follow. If it answers that the attempt is done, the Executor has one second
// to record the answer; after that the outcome is recorded as unknown.
//
// This relies on the following properties of control: a claim is granted only
// if none is in progress, answered or unknown under the key; a claim of the
// same request is granted only with a higher attempt number; and SettleClaim
// forbids later claims of the request unless the claim of the key belongs to it.
//
// A request that is sent again with the same key finds the claim of the first
// one and is settled in the same way. It is never told not-run while the first
// one is in progress.
package shrequest
