package pearusher.recovery;

/**
 * A server that was ejected, and perhaps reinstated since.
 *
 * @param iteration the event-loop iteration that changed it
 * @param timeUs Unix time in microseconds of the change
 */
record EjectionEntry(boolean isEjected, long iteration, long timeUs) {}
