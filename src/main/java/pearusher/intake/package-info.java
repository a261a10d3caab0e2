/**
 * Queueing of load reports between the streams and the policy. Reports are queued by origin, merged
 * and sampled if more arrive than the policy can process, and delivered in round-robin order. The
 * package is free of I/O, threads and clocks. It makes no decision about servers, and no origin can
 * use up the queue space or delivery rate of another.
 */
package pearusher.intake;
