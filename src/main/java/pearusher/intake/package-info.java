/**
 * What waits between the streams and the module: reports by origin, merged without loss where more
 * come than the module may hear, and let through in fair turns. It is free of I/O, threads and
 * clocks. It must never judge a server, nor let one origin take what belongs to another.
 */
package pearusher.intake;
