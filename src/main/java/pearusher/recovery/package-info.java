/**
 * What of an assigner's orders becomes durable, when it may be sent, and what a start makes of it.
 * It is free of I/O, threads and clocks: times are arguments, files are the store's. It must never
 * order anything: what it found goes to the module, which has the last word, and what it knows of a
 * proxy gives way to the proxy's own.
 */
package pearusher.recovery;
