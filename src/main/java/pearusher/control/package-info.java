/**
 * The controller: its event loop, and the connections between the policy and the rest of the
 * assigner. Any thread may queue events, which run on the single event-loop thread. Commands of the
 * policy are forwarded to the published tables, the ledger and the outbound calls. The package
 * performs no network I/O and takes no assignment decisions.
 */
package pearusher.control;
