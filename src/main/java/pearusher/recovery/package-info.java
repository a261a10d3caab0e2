/**
 * Recovery after a restart: the ledger of commands that is made durable, the outbox that holds
 * messages back until it is, and what a start may take over from it. The package is free of I/O,
 * threads and clocks: times are arguments, and storing the changes is the caller's. It issues no
 * commands: the policy decides what to do with what was recovered, and where a proxy reports what
 * it holds, its report has precedence.
 */
package pearusher.recovery;
