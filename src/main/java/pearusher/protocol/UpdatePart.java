package pearusher.protocol;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import pearusher.policy.AdmissionLevel;

/**
 * A part of an update for a proxy. An update is divided where request classes need different
 * content, or where a table is too long for one message.
 *
 * @param classes the names of the request classes concerned; empty for all classes
 * @param replacesTable whether the weights are the complete table rather than changes to it
 * @param weights the weight of each server by its id; 0 removes the server from the table
 * @param admission the admission level, if it changes
 * @param ejected the ids of servers that the proxy is to eject
 * @param reinstated the ids of servers that the proxy is to reinstate
 * @param ackNumber the number that the proxy is to acknowledge, if any
 */
public record UpdatePart(
    Optional<List<String>> classes,
    boolean replacesTable,
    Map<String, Double> weights,
    Optional<AdmissionLevel> admission,
    List<String> ejected,
    List<String> reinstated,
    OptionalInt ackNumber) {}
