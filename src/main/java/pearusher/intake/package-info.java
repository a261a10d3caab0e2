/**
 * Load reports between the streams and the policy: queued by origin, merged and sampled where more
 * arrive than the policy can process, and delivered in fair turns. The package is free of I/O,
 * threads and clocks. It makes no decision about servers, and no origin can take what belongs to
 * another.
 */
package pearusher.intake;
