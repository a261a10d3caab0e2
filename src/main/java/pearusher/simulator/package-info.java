/**
 * The policy behind the simulator's binary protocol: reads batches of events on standard input,
 * hands them to the instances, and writes one reply per batch. Single-threaded; it decides nothing.
 */
package pearusher.simulator;
