/**
 * Decisions of one assigner instance: the weights of each zone's table, admission levels,
 * ejections, and what the update channel to the proxies carries when. It owns all decision state
 * and is called by one thread. It does no I/O, starts no thread and reads no clock: time and the
 * seed of random numbers are arguments.
 */
package pearusher.policy;
