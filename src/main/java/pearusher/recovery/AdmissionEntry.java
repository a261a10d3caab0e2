package pearusher.recovery;

import pearusher.policy.AdmissionLevel;

/**
 * The admission level of a table for one request class.
 *
 * @param iteration the event-loop iteration that set it
 */
record AdmissionEntry(AdmissionLevel level, long iteration) {}
