/**
 * The policy behind the simulator's binary protocol: reads batches of events on standard input,
 * delivers them to the policy instances, and writes one reply a batch. Single-threaded; it makes no
 * decisions.
 */
package pearusher.simulator;
