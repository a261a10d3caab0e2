package pearusher.recovery;

import pearusher.policy.AdmissionLevel;

/**
 * A table's admission level for one request class.
 *
 * @param iteration the event-loop iteration that set it
 */
record AdmissionEntry(AdmissionLevel level, long iteration) {}
