package pearusher.recovery;

/**
 * The ejection state of a server.
 *
 * @param isEjected whether the server is ejected; false if it was reinstated
 * @param iteration the event-loop iteration that changed the state
 * @param timeUs Unix time of the change in microseconds
 */
record EjectionEntry(boolean isEjected, long iteration, long timeUs) {}
