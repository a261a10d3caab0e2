/**
 * Decisions of one instance: the weights of each zone's table, admission levels, ejections, and the
 * order in which the update channel carries them. {@link pearusher.policy.FaastPolicy} coordinates
 * one module for each concern. The package owns all decision state and is called by one thread. It
 * does no I/O, starts no thread and reads no clock: time and the seed of random numbers are
 * arguments.
 */
package pearusher.policy;
