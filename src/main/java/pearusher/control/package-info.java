/**
 * The event loop of the controller and the wiring around the policy: events from any thread are
 * queued and run on the one event-loop thread, the policy's commands go to the published tables,
 * the ledger and the outbound calls. It does no network I/O itself and decides nothing.
 */
package pearusher.control;
