/**
 * Recovery after a restart: the durable ledger of issued commands, the outbox that delays messages
 * until their commands are durable, and the rules for which stored data a start may use. The
 * package has no I/O, threads or clocks: times are arguments, and the caller stores the changes. It
 * issues no commands: the policy decides how to use the recovered data. If a proxy reports its own
 * state, the report takes precedence over the stored data.
 */
package pearusher.recovery;
